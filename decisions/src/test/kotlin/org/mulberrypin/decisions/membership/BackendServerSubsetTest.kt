package org.mulberrypin.decisions.membership

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Pool
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("The backend servers assigned to an instance")
class BackendServerSubsetTest {
    private fun instances(count: Int) = List(count) {
        InstanceEntry(name = "instance-$it", region = "region-${it % 2}", failureDomain = "domain-${it % 4}")
    }

    private fun pool(count: Int) = Pool(
        name = "pool",
        backendServers = List(count) { BackendServer(name = "server-$it", failureDomain = "domain-${it % 4}") },
    )

    @Test
    fun `are all of them in a small deployment`() {
        val instances = List(12) { InstanceEntry(name = "i-$it", region = "armor", failureDomain = "domain-${it % 4}") }
        instances.forEach {
            expectThat(chooseBackendServers(it.name, instances, listOf(pool(20)))).hasSize(20)
        }
    }

    @Test
    fun `cover each backend server with several instances of its region at bounded load`() {
        runBlocking {
            checkAll(
                PropTestConfig(seed = 507, iterations = 40),
                Arb.int(2..60),
                Arb.int(1..200),
                Arb.long(),
            ) { instanceCount, serverCount, seed ->
                val live = instances(instanceCount).shuffled(Random(seed)).drop(instanceCount / 8)
                val serversByInstance =
                    live.associateWith { chooseBackendServers(it.name, live, listOf(pool(serverCount))) }
                pool(serverCount).backendServers.forEach { server ->
                    val region = live
                        .filter { it.failureDomain == server.failureDomain }
                        .map { it.region }
                        .firstOrNull()
                    val eligible = live.filter { region == null || it.region == region }
                    val coverage = eligible.count { server.name in serversByInstance.getValue(it) }
                    expectThat(coverage).isGreaterThanOrEqualTo(minOf(MIN_COVERAGE, eligible.size))
                }
                serversByInstance.values.forEach {
                    expectThat(it.size).isLessThanOrEqualTo(32 * 2 + serverCount * 3 / live.size * 4 + 8)
                }
            }
        }
    }

    @Test
    fun `change little when one of many instances is removed`() {
        val before = instances(60)
        val after = before.drop(1)
        val moved = after.sumOf { entry ->
            val oldServers = chooseBackendServers(entry.name, before, listOf(pool(400)))
            val newServers = chooseBackendServers(entry.name, after, listOf(pool(400)))
            (newServers - oldServers).size
        }
        expectThat(moved).isLessThanOrEqualTo(3 * chooseBackendServers("instance-0", before, listOf(pool(400))).size)
    }
}
