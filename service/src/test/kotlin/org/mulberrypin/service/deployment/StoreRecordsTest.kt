package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseParameters
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
    private val testClock = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("entry-1", testClock.clock)

    @Test
    fun `a frozen window sums the counts of all pages`() {
        val store = FakeRowStore((1..5).map { countsRow("entry-$it", 2) }, pageRows = 2)
        val events = freezeWindow(store)
        expectThat(events.filterIsInstance<UsageEvent.Frozen>().single().counts).containsExactly(TeamCount("team", 10))
    }

    @Test
    fun `a window with an unreadable usage row is not frozen`() {
        val store = FakeRowStore(listOf(countsRow("entry-1", 2), row(StoreTables.USAGE, "entry-2", "garbage")))
        val events = freezeWindow(store)
        expectThat(store.transactions).isEmpty()
        expectThat(events).contains(UsageEvent.StepFailed(WINDOW))
    }

    @Test
    fun `a lease with an unreadable row is not acquired`() {
        val store = FakeRowStore(listOf(row(StoreTables.LEASES, "control", "garbage")))
        val events = ArrayList<LeaseEvent>()
        val manager = LeaseManager(parameters, store.store, testClock.clock, log, events::add)
        repeat(20) {
            testClock.advance(1_000)
            manager.handle(LeaseEvent.Tick)
            events.toList().also { events.clear() }.forEach(manager::handle)
        }
        expectThat(store.transactions).isEmpty()
        expectThat(manager.holdFor(0)).isEqualTo(null)
    }

    private fun freezeWindow(store: FakeRowStore): List<UsageEvent> {
        val events = ArrayList<UsageEvent>()
        val ports =
            UsagePorts(store.store, unusedBackendCalls, testClock.clock, log, currentHold = { null }, events::add)
        val manager = UsageManager(InstanceIdentity("entry-1", 1, "zone-a"), WINDOW_MILLISECONDS, ports)
        testClock.advance(WINDOW_MILLISECONDS + SETTLE_MILLISECONDS)
        manager.handle(UsageEvent.Tick(testClock.clock.readWallMilliseconds(), isLeaseHolder = true))
        return events.filter { it !is UsageEvent.Frozen || it.window == WINDOW }
    }

    private fun countsRow(
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
        private const val SETTLE_MILLISECONDS = 3_100L
        private val parameters = LeaseParameters("control", "entry-1", 1, 3_000, 750, 0.01, 1_000)
        private val unusedBackendCalls =
            BackendCalls({ _, _ -> {} }, { _, _ -> {} }, { _, _, _ -> }, { _, _ -> }, { _, _ -> }, { _, _ -> })
    }
}
