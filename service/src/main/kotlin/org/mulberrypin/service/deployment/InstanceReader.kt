package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.instances.HeartbeatTracker
import org.mulberrypin.decisions.instances.liveInstances
import org.mulberrypin.decisions.instances.withReading
import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.InstanceHeartbeat

/**
 * Dependencies of the instance reader.
 *
 * @property offer queues a signal for the control duty
 * @property onInstances receives the live instances whenever their list changes
 * @property onHeartbeats receives the heartbeats of the live instances at each reading
 * @property onCrashRecords receives the crash records of the other instances whenever they change
 */
internal data class InstanceReaderPorts(
    val store: RowStore,
    val log: DecisionLog,
    val offer: (ControlSignal) -> Unit,
    val onHeartbeats: (List<InstanceHeartbeat>) -> Unit,
    val onInstances: (List<LiveInstance>) -> Unit,
    val onCrashRecords: (List<CrashRecord>) -> Unit,
)

/**
 * Reads the heartbeats of all instances: the whole table once, then the rows that have changed since the last reading.
 * All functions run on the thread of the control duty.
 */
internal class InstanceReader(
    private val instance: String,
    private val ports: InstanceReaderPorts,
) {
    private var table = FollowedTable(StoreTables.INSTANCES, listOf(""), feedWaitMilliseconds = 0)
    private var readVersions = emptyMap<String, Long>()
    private var tracker = HeartbeatTracker()
    private var knownCrashes = emptyList<CrashRecord>()

    /** The live instances as of the last reading. */
    var live: List<LiveInstance> = emptyList()
        private set

    /** Starts a reading, unless one is in flight. */
    fun read(nowMilliseconds: Long) {
        val (updated, call) = table.nextCall(nowMilliseconds) ?: return
        table = updated
        when (call) {
            is FollowCall.Read -> ports.store.readRows(call.range) {
                ports.offer(ControlSignal.InstancesRead(call.callNumber, it))
            }

            is FollowCall.Follow -> ports.store.pollFeed(call.feed) {
                ports.offer(ControlSignal.InstancesChanged(call.callNumber, it))
            }
        }
    }

    fun handlePage(
        callNumber: Long,
        outcome: Outcome<RowPage>,
        nowMilliseconds: Long,
    ) {
        logFailure(outcome)
        apply(outcome, table.applyPage(callNumber, outcome, nowMilliseconds), nowMilliseconds)
    }

    fun handleChanges(
        callNumber: Long,
        outcome: Outcome<FeedResult>,
        nowMilliseconds: Long,
    ) {
        logFailure(outcome)
        apply(outcome, table.applyFeed(callNumber, outcome, nowMilliseconds), nowMilliseconds)
    }

    private fun logFailure(outcome: Outcome<Any>) {
        if (outcome !is Outcome.Failure) return
        ports.log.write(SOURCE, instance, "instances not read", "store", outcome.fault.toString())
    }

    private fun apply(
        outcome: Outcome<Any>,
        next: FollowedTable,
        nowMilliseconds: Long,
    ) {
        val isLate = next === table
        table = next
        when {
            isLate || outcome is Outcome.Failure -> Unit
            next.version == null -> read(nowMilliseconds)
            else -> applyRows(next.rows.values, nowMilliseconds)
        }
    }

    private fun applyRows(
        rows: Collection<StoredRow>,
        nowMilliseconds: Long,
    ) {
        val changed = rows.filter { readVersions[it.key] != it.version }
        readVersions = rows.associate { it.key to it.version }
        val renewed = changed.mapNotNull { ports.log.decodeRecord(it, InstanceHeartbeat.serializer()) }
        tracker = tracker.withReading(renewed, readVersions.keys, nowMilliseconds)
        forwardCrashRecords()
        val heartbeats = tracker.liveInstances()
        ports.onHeartbeats(heartbeats)
        val current = heartbeats.map { LiveInstance(it.name, it.incarnation, it.capacity) }
        if (current.toSet() == live.toSet()) return
        logChange("alive", current - live.toSet())
        logChange("gone", live - current.toSet())
        live = current
        ports.onInstances(current)
    }

    private fun logChange(
        change: String,
        instances: List<LiveInstance>,
    ) {
        if (instances.isEmpty()) return
        val subject = if (instances.size == 1) instances.single().name else "${instances.size} instances"
        val inputs = boundedList(instances.map { "${it.name}/${it.incarnation}/${it.capacity}" })
        ports.log.write(SOURCE, subject, "instance $change", "store", inputs)
    }

    private fun forwardCrashRecords() {
        val records = tracker.observed.values
            .filter { it.heartbeat.name != instance }
            .flatMap { it.heartbeat.crashRecords }
        if (records == knownCrashes) return
        knownCrashes = records
        ports.onCrashRecords(records)
    }

    private companion object {
        private const val SOURCE = "control"
    }
}
