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
@DisplayName("The backend servers that an instance looks after")
class BackendServerSubsetTest {
    private fun instances(count: Int) = List(count) {
        InstanceEntry(name = "instance-$it", region = "region-${it % 2}", failureDomain = "domain-${it % 4}")
    }

    private fun pool(count: Int) = Pool(
        name = "pool",
        backendServers = List(count) { BackendServer(name = "server-$it", failureDomain = "domain-${it % 4}") },
    )

    @Test
    fun `are all of them at the size of today`() {
        val instances = List(12) { InstanceEntry(name = "i-$it", region = "armor", failureDomain = "domain-${it % 4}") }
        instances.forEach {
            expectThat(chooseBackendServers(it.name, instances, listOf(pool(20)))).hasSize(20)
        }
    }

    @Test
    fun `cover each backend server by several instances of its region with a bounded load`() {
        runBlocking {
            checkAll(
                PropTestConfig(seed = 507, iterations = 40),
                Arb.int(2..60),
                Arb.int(1..200),
                Arb.long(),
            ) { n, s, seed ->
                val live = instances(n).shuffled(Random(seed)).drop(n / 8)
                val chosen = live.associateWith { chooseBackendServers(it.name, live, listOf(pool(s))) }
                pool(s).backendServers.forEach { server ->
                    val region = live
                        .filter { it.failureDomain == server.failureDomain }
                        .map { it.region }
                        .firstOrNull()
                    val able = live.filter { region == null || it.region == region }
                    val covering = able.count { server.name in chosen.getValue(it) }
                    expectThat(covering).isGreaterThanOrEqualTo(minOf(LEAST_COVERAGE, able.size))
                }
                chosen.values.forEach { expectThat(it.size).isLessThanOrEqualTo(32 * 2 + s * 3 / live.size * 4 + 8) }
            }
        }
    }

    @Test
    fun `change little when one instance of many goes`() {
        val before = instances(60)
        val after = before.drop(1)
        val moved = after.sumOf { entry ->
            val old = chooseBackendServers(entry.name, before, listOf(pool(400)))
            val new = chooseBackendServers(entry.name, after, listOf(pool(400)))
            (new - old).size
        }
        expectThat(moved).isLessThanOrEqualTo(3 * chooseBackendServers("instance-0", before, listOf(pool(400))).size)
    }
}
