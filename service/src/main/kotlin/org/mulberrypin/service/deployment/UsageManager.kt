package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.windows.UsageEffect
import org.mulberrypin.decisions.windows.UsageEvent
import org.mulberrypin.decisions.windows.UsageWindows
import org.mulberrypin.decisions.windows.decideUsage
import org.mulberrypin.decisions.windows.sumCounts
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.OrderAnswer
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.platform.deployment.UsageReport
import org.mulberrypin.platform.deployment.readAllRows
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.FrozenUsage
import org.mulberrypin.schema.generated.InstanceUsage
import org.mulberrypin.schema.generated.TeamCount

/**
 * Dependencies of the usage manager.
 *
 * @property currentHold returns the lease of the singleton duties while this instance holds it, otherwise null
 */
internal data class UsagePorts(
    val store: RowStore,
    val backends: BackendCalls,
    val clock: ServiceClock,
    val log: DecisionLog,
    val currentHold: () -> HeldLease?,
    val onEvent: (UsageEvent) -> Unit,
)

/**
 * Writes this instance's usage counts and, while it holds the lease, freezes and reports usage windows. All functions
 * run on the thread of the control duty.
 */
internal class UsageManager(
    private val identity: InstanceIdentity,
    windowMilliseconds: Long,
    private val ports: UsagePorts,
) {
    private var state = UsageWindows(
        windowMilliseconds = windowMilliseconds,
        firstWindow = ports.clock.readWallMilliseconds() / windowMilliseconds - RECOVERED_WINDOWS,
    )

    fun handle(event: UsageEvent) {
        val transition = decideUsage(state, event, ports.clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: UsageEffect) {
        when (effect) {
            is UsageEffect.WriteCounts -> writeCounts(effect)
            is UsageEffect.FreezeWindow -> freeze(effect.window)
            is UsageEffect.ReportWindow -> report(effect)
        }
    }

    private fun writeCounts(effect: UsageEffect.WriteCounts) {
        val usage = InstanceUsage(identity.name, identity.incarnation, effect.counts)
        val key = "${identity.name}/${identity.incarnation}"
        val value = recordJson.encodeToString(InstanceUsage.serializer(), usage)
        val row = RowWrite(StoreTables.USAGE, effect.window.toString(), key, value)
        ports.store.transact(RowTransaction(writes = listOf(row))) { outcome ->
            if (outcome is Outcome.Failure) {
                ports.log.write(SOURCE, "${effect.window}", "counts not written", "store", outcome.fault.toString())
                ports.onEvent(UsageEvent.WriteFailed(effect.window))
            }
        }
    }

    private fun freeze(window: Long) {
        ports.store.readAllRows(RowRange(StoreTables.USAGE, window.toString())) { outcome ->
            when (outcome) {
                is Outcome.Failure -> reportStepFailure(window, outcome.fault.toString())
                is Outcome.Success -> freezeCounts(window, outcome.value)
            }
        }
    }

    /** Freezes the sum of all counts. An unreadable row fails the step, as a sum without it would bill too little. */
    private fun freezeCounts(
        window: Long,
        rows: List<StoredRow>,
    ) {
        val counts = rows.mapNotNull { ports.log.decodeRecord(it, InstanceUsage.serializer()) }
        if (counts.size == rows.size) {
            writeFrozen(window, sumCounts(counts.flatMap { it.counts }))
        } else {
            reportStepFailure(window, "${rows.size - counts.size} usage rows cannot be decoded")
        }
    }

    private fun writeFrozen(
        window: Long,
        counts: List<TeamCount>,
    ) {
        val value = recordJson.encodeToString(FrozenUsage.serializer(), FrozenUsage(window, counts))
        val transaction = RowTransaction(
            conditions = listOf(RowCondition(StoreTables.FROZEN_USAGE, "", window.toString(), 0)),
            writes = listOf(RowWrite(StoreTables.FROZEN_USAGE, "", window.toString(), value)),
        )
        ports.store.transact(transaction) { outcome ->
            when (outcome) {
                is Outcome.Failure -> reportStepFailure(window, outcome.fault.toString())

                is Outcome.Success -> when (val result = outcome.value) {
                    is TransactionResult.Applied -> {
                        ports.onEvent(UsageEvent.Frozen(window, counts))
                    }

                    is TransactionResult.Conflict -> {
                        handleExistingRow(window, result.rows.firstOrNull())
                    }
                }
            }
        }
    }

    /** Uses the counts that another lease holder has already frozen. */
    private fun handleExistingRow(
        window: Long,
        row: StoredRow?,
    ) {
        val frozen = row?.let { ports.log.decodeRecord(it, FrozenUsage.serializer()) }
        if (frozen == null) {
            reportStepFailure(window, "the frozen usage row cannot be decoded, expected a usage window")
        } else {
            ports.onEvent(UsageEvent.Frozen(window, frozen.counts))
        }
    }

    private fun report(effect: UsageEffect.ReportWindow) {
        val hold = ports.currentHold() ?: return ports.onEvent(UsageEvent.StepFailed(effect.window))
        val counts = effect.counts.associate { it.team to it.requests }
        val inputs = "token=${hold.fencingNumber} counts=$counts"
        ports.log.write(SOURCE, "${effect.window}", "window reported", "platform", inputs)
        ports.backends.reportUsage(UsageReport(effect.window, counts, identity.name, hold.fencingNumber)) { outcome ->
            when {
                outcome is Outcome.Failure -> {
                    reportStepFailure(effect.window, outcome.fault.toString())
                }

                outcome is Outcome.Success && outcome.value == OrderAnswer.DONE -> {
                    ports.onEvent(UsageEvent.Reported(effect.window))
                }

                // A newer lease holder has acted; it reports the window.
                else -> {
                    reportStepFailure(effect.window, "usage report rejected: $outcome")
                }
            }
        }
    }

    private fun reportStepFailure(
        window: Long,
        detail: String,
    ) {
        ports.log.write(SOURCE, "$window", "window step failed", "platform", detail)
        ports.onEvent(UsageEvent.StepFailed(window))
    }

    private companion object {
        private const val SOURCE = "usage"

        /** Windows before the start that a new lease holder processes, as the previous holder may have crashed. */
        private const val RECOVERED_WINDOWS = 3L
    }
}
