package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseTerms
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.windows.UsageEvent
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.InstanceUsage
import org.mulberrypin.schema.generated.TeamCount
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class StoreRecordsTest {
    private val manual = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("entry-1", manual.clock)

    @Test
    fun `adds up the counts of all pages`() {
        val store = FakeRowStore((1..5).map { counts("entry-$it", 2) }, pageRows = 2)
        val told = freeze(store)
        expectThat(told.filterIsInstance<UsageEvent.Frozen>().single().counts).containsExactly(TeamCount("team", 10))
    }

    @Test
    fun `freezes no window of which a row of counts cannot be read`() {
        val store = FakeRowStore(listOf(counts("entry-1", 2), row(StoreTables.USAGE, "entry-2", "garbage")))
        val told = freeze(store)
        expectThat(store.transactions).isEmpty()
        expectThat(told).contains(UsageEvent.StepFailed(WINDOW))
    }

    @Test
    fun `takes no lease whose row cannot be read`() {
        val store = FakeRowStore(listOf(row(StoreTables.LEASES, "control", "garbage")))
        val told = ArrayList<LeaseEvent>()
        val keeper = LeaseKeeper(terms, store.store, manual.clock, log, told::add)
        repeat(20) {
            manual.advance(1_000)
            keeper.handle(LeaseEvent.Tick)
            told.toList().also { told.clear() }.forEach(keeper::handle)
        }
        expectThat(store.transactions).isEmpty()
        expectThat(keeper.holdFor(0)).isEqualTo(null)
    }

    private fun freeze(store: FakeRowStore): List<UsageEvent> {
        val told = ArrayList<UsageEvent>()
        val ports = UsagePorts(store.store, noCalls, manual.clock, log, hold = { null }, told::add)
        val keeper = UsageKeeper(InstanceIdentity("entry-1", 1, "zone-a"), WINDOW_MILLISECONDS, ports)
        manual.advance(WINDOW_MILLISECONDS + COLLECTION_MILLISECONDS)
        keeper.handle(UsageEvent.Ticked(manual.clock.readWallMilliseconds(), holds = true))
        return told.filter { it !is UsageEvent.Frozen || it.window == WINDOW }
    }

    private fun counts(
        instance: String,
        requests: Long,
    ): StoredRow {
        val usage = InstanceUsage(instance, 1, listOf(TeamCount("team", requests)))
        return row(StoreTables.USAGE, instance, recordJson.encodeToString(InstanceUsage.serializer(), usage))
    }

    private fun row(
        table: String,
        key: String,
        value: String,
    ) = StoredRow(table, "", key, value, version = 1)

    private companion object {
        private const val WINDOW_MILLISECONDS = 5_000L
        private const val WINDOW = 100L
        private const val COLLECTION_MILLISECONDS = 3_100L
        private val terms = LeaseTerms("control", "entry-1", 1, 3_000, 750, 0.01, 1_000)
        private val noCalls = BackendCalls({ _, _ -> {} }, { _, _ -> {} }, { _, _, _ -> }, { _, _ -> }, { _, _ -> })
    }
}
