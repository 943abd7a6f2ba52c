package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.allowsOperation
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow
import kotlin.random.Random

internal const val LEASE_ROW = "lease/usage"

/** Longest send that the lease must cover, in milliseconds. */
internal const val LONGEST_SEND = 2_000L

internal val reportLimits = UsageReportLimits(
    windowMilliseconds = 10_000,
    settleMilliseconds = 4_000,
    loadMilliseconds = 2_500,
    lineLimit = 2,
    sendTimeoutMilliseconds = LONGEST_SEND,
    clockRateBound = 0.01,
)

/**
 * A send of a report.
 *
 * @property checkedAt time of the last check of the lease before the send
 */
internal data class SentReport(
    val process: Int,
    val checkedAt: Long,
    val sentAt: Long,
    val window: UsageWindow,
)

/**
 * Simulates three instances that count usage and take turns in holding the lease for reports. The first may crash and
 * restart, and all may pause. Times are in milliseconds of virtual time.
 */
internal class BillingSimulation(
    val random: Random,
) {
    var now = 1_000_000L
    var faultsEnabled = true
    val store = SimulatedRows()
    val sentReports = mutableListOf<SentReport>()
    val processes = (0..2).map { BillingProcess(it, incarnation = 1) }.toMutableList()
    val crashedProcesses = mutableListOf<BillingProcess>()
    private val scheduled = mutableListOf<Pair<Long, () -> Unit>>()
    private var holder = 0
    private var fencingNumber = 1L
    private var deadline = now

    /** Advances the time, updates the lease, delivers due responses and runs the processes that are not paused. */
    fun step() {
        now += random.nextLong(1, 300)
        updateLease()
        val due = scheduled.filter { it.first <= now }.sortedBy { it.first }
        scheduled -= due.toSet()
        due.forEach { it.second() }
        if (faultsEnabled && random.nextInt(40) == 0) restartFirst()
        processes.filter { it.pausedUntil <= now }.forEach(::runProcess)
    }

    private fun restartFirst() {
        val crashed = processes[0]
        crashedProcesses += crashed
        processes[0] = BillingProcess(0, crashed.incarnation + 1)
    }

    /** Renews the lease in time, or lets it expire and assigns it to a random process. */
    private fun updateLease() {
        val renewing =
            processes[holder].leaseSince > 0 && processes[holder].pausedUntil <= now &&
                (!faultsEnabled || random.nextInt(60) > 0)
        if (now < deadline && renewing) {
            if (deadline - now > LEASE_MILLISECONDS / 2) return
            deadline = now + LEASE_MILLISECONDS
            store.put(LEASE_ROW, fencingNumber)
        } else if (now > deadline + 500) {
            holder = random.nextInt(3)
            fencingNumber += 1
            deadline = now + LEASE_MILLISECONDS
            store.put(LEASE_ROW, fencingNumber)
            processes[holder].leaseSince = now
        }
    }

    private fun leaseOf(process: BillingProcess): HeldLease? =
        HeldLease(LEASE_ROW, fencingNumber, deadline, process.leaseSince, store.version(LEASE_ROW))
            .takeIf { processes.getOrNull(holder) === process && now < deadline && process.leaseSince > 0 }

    private fun runProcess(process: BillingProcess) {
        if (faultsEnabled && random.nextInt(50) == 0) process.pausedUntil = now + random.nextLong(12_000)
        if (faultsEnabled) repeat(random.nextInt(4)) { process.generateUsage(random, now) }
        process.count(UsageCounterEvent.CopyDue, now).forEach { perform(process, it) }
        if (random.nextInt(8) == 0) process.count(UsageCounterEvent.CheckpointDue, now).forEach { perform(process, it) }
        process.decideCopies(UsageCopiesEvent.Tick, now).forEach { perform(process, it) }
        report(process, UsageReporterEvent.Tick(leaseOf(process), now))
    }

    /** Performs an action after a delay; it may fail without an effect, or its response may be lost. */
    private fun performLater(
        process: BillingProcess,
        action: () -> () -> Unit,
        fail: () -> Unit,
    ) {
        val delayed = faultsEnabled && random.nextInt(8) == 0
        val responseLost = faultsEnabled && random.nextInt(8) == 0
        val unavailable = faultsEnabled && random.nextInt(12) == 0
        val delay = random.nextLong(1, if (delayed) 8_000 else 150)
        scheduled += now + delay to {
            val answer = if (unavailable) fail else action()
            if (process in processes) {
                if (responseLost) {
                    fail()
                } else {
                    answer()
                }
            }
        }
    }

    private fun perform(
        process: BillingProcess,
        effect: UsageCounterEffect,
    ) {
        when (effect) {
            is UsageCounterEffect.CopyCheckpoint -> {
                sendCopy(process, effect.checkpoint)
            }

            is UsageCounterEffect.WriteCheckpoint -> {
                val answer = { event: UsageCounterEvent -> process.count(event, now).forEach { perform(process, it) } }
                performLater(process, { write(effect).let { { answer(it) } } }) {
                    answer(UsageCounterEvent.CheckpointFailed(effect.attempt))
                }
            }
        }
    }

    private fun write(effect: UsageCounterEffect.WriteCheckpoint): UsageCounterEvent {
        val key = "count/" + usageInstanceKey(effect.checkpoint)
        val committed = store.commit(mapOf(key to effect.expectedVersion), mapOf(key to effect.checkpoint))
        return if (committed) {
            UsageCounterEvent.CheckpointWritten(effect.attempt)
        } else {
            UsageCounterEvent.CheckpointConflicted(effect.attempt, store.version(key))
        }
    }

    private fun sendCopy(
        process: BillingProcess,
        checkpoint: UsageCheckpoint,
    ) {
        val peer = processes[if (process.number == 1) 2 else 1]
        if (faultsEnabled && random.nextInt(6) == 0) {
            process.count(UsageCounterEvent.CopyFailed, now)
        } else {
            peer.decideCopies(UsageCopiesEvent.Received(checkpoint), now)
            if (peer.hasCopyOf(checkpoint)) process.copiedCount = process.usedCount
        }
    }

    private fun perform(
        process: BillingProcess,
        effect: UsageCopiesEffect,
    ) {
        val action = {
            val event = when (effect) {
                is UsageCopiesEffect.ReadCheckpoint -> {
                    val row = store.row<UsageCheckpoint>("count/${effect.key}")
                    UsageCopiesEvent.CheckpointRead(effect.key, row ?: UsageRow(0, null))
                }

                is UsageCopiesEffect.WriteMerged -> {
                    val key = "count/${effect.key}"
                    val committed = store.commit(mapOf(key to effect.expectedVersion), mapOf(key to effect.checkpoint))
                    UsageCopiesEvent.Merged(effect.key, if (committed) effect.checkpoint.sequence else 0)
                }
            }
            val answer = { process.decideCopies(event, now).forEach { perform(process, it) } }
            answer
        }
        performLater(process, action) {}
    }

    private fun report(
        process: BillingProcess,
        event: UsageReporterEvent,
    ) {
        process.decideReporter(event, now).forEach { effect ->
            when (effect) {
                is UsageReporterEffect.Send -> {
                    send(process, effect)
                }

                is UsageReporterEffect.Load, is UsageReporterEffect.Freeze, is UsageReporterEffect.DeleteReport -> {
                    performLater(process, { execute(effect).let { { report(process, it) } } }) {
                        report(process, failed(effect.attempt))
                    }
                }
            }
        }
    }

    /** Sends the report if the lease covers the send timeout; with faults, some sends are delayed beyond it. */
    private fun send(
        process: BillingProcess,
        effect: UsageReporterEffect.Send,
    ) {
        val hold = leaseOf(process)?.takeIf { it.fencingNumber == effect.fencingNumber }
        if (hold == null || !hold.allowsOperation(now, LONGEST_SEND)) {
            return report(process, UsageReporterEvent.StepFailed(effect.attempt))
        }
        val checkedAt = now
        val pause = if (faultsEnabled &&
            random.nextInt(6) == 0
        ) {
            random.nextLong(20_000)
        } else {
            random.nextLong(LONGEST_SEND - 300)
        }
        scheduled += now + pause to {
            if (process in processes) {
                sentReports += SentReport(process.number, checkedAt, now, effect.window)
                val responseLost = faultsEnabled && random.nextInt(5) == 0
                val event = if (responseLost) ::failed else ::done
                report(process, event(effect.attempt))
            }
        }
    }

    private fun failed(attempt: Long): UsageReporterEvent = UsageReporterEvent.StepFailed(attempt)

    private fun done(attempt: Long): UsageReporterEvent = UsageReporterEvent.StepSucceeded(attempt)

    private fun execute(effect: UsageReporterEffect): UsageReporterEvent =
        when (effect) {
            is UsageReporterEffect.Load -> UsageReporterEvent.Loaded(effect.attempt, store.ledger())
            is UsageReporterEffect.Freeze -> result(effect.attempt, store.freeze(effect.freeze))
            is UsageReporterEffect.DeleteReport -> result(effect.attempt, store.deleteReport(effect.report))
            is UsageReporterEffect.Send -> error("Send effects are expected in report, not here.")
        }

    private fun result(
        attempt: Long,
        succeeded: Boolean,
    ): UsageReporterEvent = if (succeeded) done(attempt) else failed(attempt)

    private companion object {
        const val LEASE_MILLISECONDS = 6_000L
    }
}

/**
 * One incarnation of an instance.
 *
 * @property usedCount number of requests counted so far
 * @property copiedCount number of requests counted when a peer last stored a copy
 */
internal class BillingProcess(
    val number: Int,
    val incarnation: Long,
) {
    var usedCount = 0L
    var copiedCount = 0L
    var pausedUntil = 0L
    var leaseSince = 0L
    private var events = 0
    private var counter =
        usageCounterState(UsageCounterLimits("instance-$number", incarnation, 10_000, separateWindows = 2))
    private var copies = UsageCopiesState(mergeDelayMilliseconds = 3_000, limit = 8)
    private var reporter = usageReporterState(reportLimits)

    fun generateUsage(
        random: Random,
        now: Long,
    ) {
        val repeated = events > 0 && random.nextInt(10) == 0
        if (!repeated) {
            events += 1
            usedCount += 1
        }
        val route = "route-${random.nextInt(3)}"
        count(UsageCounterEvent.Counted(UsageEvent("$number/$events", "team", route, 1, 10, 20), now), now)
    }

    fun count(
        event: UsageCounterEvent,
        now: Long,
    ): List<UsageCounterEffect> = decideUsageCounter(counter, event, now).also { counter = it.state }.effects

    fun decideCopies(
        event: UsageCopiesEvent,
        now: Long,
    ): List<UsageCopiesEffect> = decideUsageCopies(copies, event, now).also { copies = it.state }.effects

    fun hasCopyOf(checkpoint: UsageCheckpoint): Boolean = usageInstanceKey(checkpoint) in copies.copies

    fun decideReporter(
        event: UsageReporterEvent,
        now: Long,
    ): List<UsageReporterEffect> = decideUsageReporter(reporter, event, now).also { reporter = it.state }.effects
}

/** A table of versioned rows with conditional writes. */
internal class SimulatedRows {
    private val rows = mutableMapOf<String, UsageRow<Any?>>()

    fun version(key: String): Long = rows[key]?.takeIf { it.value != null }?.version ?: 0

    fun put(
        key: String,
        value: Any?,
    ) {
        rows[key] = UsageRow((rows[key]?.version ?: 0) + 1, value)
    }

    fun commit(
        conditions: Map<String, Long>,
        writes: Map<String, Any?>,
    ): Boolean {
        val holds = conditions.all { (key, version) -> version(key) == version }
        if (holds) writes.forEach(::put)
        return holds
    }

    @Suppress("UNCHECKED_CAST")
    fun <Value> row(key: String): UsageRow<Value>? = rows[key]?.takeIf { it.value != null } as UsageRow<Value>?

    private fun <Value> rowsOf(prefix: String): Map<String, UsageRow<Value>> =
        rows.keys
            .filter { it.startsWith(prefix) }
            .sorted()
            .mapNotNull { key ->
                row<Value>(key)?.let { key to it }
            }.toMap()

    fun ledger(): UsageLedger =
        UsageLedger(
            progress = row("progress") ?: UsageRow(0, UsageProgress()),
            taken = rowsOf<UsageTaken>("taken/").mapKeys { it.key.removePrefix("taken/") },
            checkpoints = rowsOf<UsageCheckpoint>("count/").values.map { it.value },
            reports = rowsOf<UsageWindow>("report/").values.toList(),
        )

    fun freeze(freeze: UsageFreeze): Boolean =
        commit(
            mapOf(LEASE_ROW to freeze.lease.rowVersion, "progress" to freeze.progress.version) +
                freeze.taken.map { "taken/${it.key}" to it.value.version } +
                freeze.reports.map { "report/${it.name}" to 0L },
            mapOf<String, Any?>("progress" to freeze.progress.value) +
                freeze.taken.map { "taken/${it.key}" to it.value.value } +
                freeze.reports.map { "report/${it.name}" to it },
        )

    fun deleteReport(report: UsageRow<UsageWindow>): Boolean {
        val key = "report/${report.value.name}"
        return commit(mapOf(key to report.version), mapOf(key to null))
    }
}
