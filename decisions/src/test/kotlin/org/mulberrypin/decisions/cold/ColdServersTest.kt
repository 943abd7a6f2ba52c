package org.mulberrypin.decisions.cold

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ServingPool
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Load pattern: engines that start cold while many instances have more work for them than they bear. */
class ColdServersTest {
    @OptIn(ExperimentalKotest::class)
    @Test
    fun `instances that arrive, leave, freeze and wake with lists of any age never exceed the budget together`() {
        var arrivals = 0
        runBlocking {
            val config = PropTestConfig(seed = 21, iterations = 500)
            checkAll(config, Arb.int(1..40), Arb.list(coldSteps, 20..120)) { rate, script ->
                val model = ColdModel(pool.copy(coldRequestsPerSecond = rate / 2.0, coldMilliseconds = 10_000))
                script.forEach(model::apply)
                expectThat(model.largestExcess()).isLessThanOrEqualTo(0)
                arrivals += model.coldArrivals()
            }
        }
        expectThat(arrivals).isGreaterThan(1_000)
    }

    @Test
    fun `a lifetime that appears is cold for the pool's time, one that the first list shows only if it is young`() {
        val seen = ColdServers(limits).withPools(listOf(pool)).withEntries(listOf(entry("old", 0)), true, 0, 60_000)
        expectThat(seen.maySend("old", 0)).isTrue()
        val young = seen.withEntries(listOf(entry("young", 59_000)), true, 0, 60_000)
        expectThat(young.maySend("young", 2_999)).isFalse()
        expectThat(young.maySend("young", 3_000)).isTrue()
        val appeared = seen.withEntries(listOf(entry("new", 0)), false, 10_000, 9_000_000)
        expectThat(appeared.maySend("new", 12_999)).isFalse()
        val reborn = seen.withEntries(listOf(entry("old", 1)), false, 10_000, 9_000_000)
        expectThat(reborn.maySend("old", 12_999)).isFalse()
    }

    @Test
    fun `a server is cold again when its entry or a response of this lifetime says so`() {
        val old = entry("old", 0)
        val seen = ColdServers(limits).withPools(listOf(pool)).withEntries(listOf(old), true, 0, 60_000)
        val turned = listOf(old.copy(coldMilliseconds = 700))
        val listed = seen.withEntries(turned, false, 100, 60_100)
        expectThat(listed.maySend("old", 799)).isFalse()
        expectThat(listed.withEntries(turned, false, 790, 60_790).maySend("old", 800)).isTrue()
        expectThat(seen.withReport("old", 0, 500, 100).maySend("old", 599)).isFalse()
        expectThat(seen.withReport("old", 7, 500, 100).maySend("old", 599)).isTrue()
    }

    @Test
    fun `nothing is bounded where the pool states no rate`() {
        val plain = ColdServers(limits).withPools(listOf(pool.copy(coldRequestsPerSecond = 0.0)))
        val seen = plain.withEntries(listOf(entry("new", 0).copy(coldMilliseconds = 9_000)), false, 0, 0)
        expectThat(seen.maySend("new", 1)).isTrue()
        expectThat(seen.servers.size).isEqualTo(0)
    }

    @Test
    fun `after a long pause servers that seem warm rest until the list has been followed again`() {
        val entries = listOf(entry("old", 0))
        val seen = ColdServers(limits).withPools(listOf(pool)).withEntries(entries, true, 0, 60_000).withTick(0)
        expectThat(seen.maySend("old", 1_900)).isTrue()
        expectThat(seen.maySend("old", 5_000)).isFalse()
        val woken = seen.withTick(5_000)
        expectThat(woken.maySend("old", 5_900)).isFalse()
        expectThat(woken.withTick(6_000).maySend("old", 6_000)).isTrue()
    }

    private companion object {
        private val limits = ColdLimits(1.5, 5.0)
        private val pool = ServingPool("engines", coldRequestsPerSecond = 16.0, coldMilliseconds = 3_000)

        private fun entry(
            id: String,
            started: Long,
        ) = BackendServerEntry(id = id, pool = "engines", startedWallMilliseconds = started)
    }
}

internal enum class ColdStepKind {
    ADVANCE,
    START_SERVER,
    LIST,
    CUT,
    HEAL,
    FREEZE,
    WAKE,
    PAUSE,
    KILL,
    RESTART,
    CLAIM_LATE,
    CLAIM_LOST,
}

internal data class ColdStep(
    val kind: ColdStepKind,
    val instance: Int,
    val milliseconds: Int,
)

private val weighted = ColdStepKind.entries + List(10) { ColdStepKind.ADVANCE } + List(4) { ColdStepKind.LIST }
private val coldSteps = Arb.bind(Arb.element(weighted), Arb.int(0..4), Arb.int(1..400), ::ColdStep)
