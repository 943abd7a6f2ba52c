package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.LeaseEffect
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseParameters
import org.mulberrypin.decisions.leases.LeaseRow
import org.mulberrypin.decisions.leases.LeaseState
import org.mulberrypin.decisions.leases.allowsOperation
import org.mulberrypin.decisions.leases.decideLease
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * Acquires, renews and releases one lease in the platform's store. All functions run on the thread of the control duty.
 *
 * The monotonic clock stops while the host is suspended, but the wall clock does not. A jump between the two clocks
 * therefore invalidates the held lease until its next renewal.
 */
internal class LeaseManager(
    private val parameters: LeaseParameters,
    private val store: RowStore,
    private val clock: ServiceClock,
    private val log: DecisionLog,
    private val onEvent: (LeaseEvent) -> Unit,
) {
    private var state = LeaseState(parameters)
    private var wallOffset = clock.readWallMilliseconds() - clock.readMilliseconds()
    private var lastSuspensionMilliseconds = Long.MIN_VALUE

    /** Returns the lease if this instance holds it for at least [minimumMilliseconds] more, otherwise null. */
    fun holdFor(minimumMilliseconds: Long): HeldLease? {
        detectSuspension()
        return state.hold?.takeIf { hold ->
            val renewedMilliseconds = hold.deadlineMilliseconds - parameters.validityMilliseconds
            renewedMilliseconds > lastSuspensionMilliseconds &&
                hold.allowsOperation(clock.readMilliseconds(), minimumMilliseconds)
        }
    }

    fun handle(event: LeaseEvent) {
        detectSuspension()
        val transition = decideLease(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun detectSuspension() {
        val offset = clock.readWallMilliseconds() - clock.readMilliseconds()
        val jump = offset - wallOffset
        wallOffset = offset
        if (jump > SUSPENSION_THRESHOLD_MILLISECONDS || jump < -SUSPENSION_THRESHOLD_MILLISECONDS) {
            lastSuspensionMilliseconds = clock.readMilliseconds()
            log.write(
                SOURCE,
                parameters.candidate,
                "suspension noticed",
                inputs = "jumpMilliseconds=$jump held=${state.hold != null}",
            )
        }
    }

    private fun perform(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.ReadRow -> read(effect)
            is LeaseEffect.WriteRow -> write(effect)
            is LeaseEffect.Acquired -> logChange("taken", effect.hold)
            is LeaseEffect.Lost -> logChange("lost", effect.hold)
        }
    }

    private fun logChange(
        change: String,
        hold: HeldLease,
    ) = log.write(
        SOURCE,
        hold.name,
        "lease $change",
        parameters.candidate,
        "token=${hold.fencingNumber} rowVersion=${hold.rowVersion}",
    )

    private fun read(effect: LeaseEffect.ReadRow) {
        store.readRows(RowRange(StoreTables.LEASES, "", effect.name, limit = 1)) { outcome ->
            onEvent(
                when (outcome) {
                    is Outcome.Failure -> {
                        LeaseEvent.ReadFailed(effect.attempt)
                    }

                    is Outcome.Success -> {
                        val row = outcome.value.rows.firstOrNull { it.key == effect.name }
                        leaseRow(row)?.let { LeaseEvent.RowRead(effect.attempt, it) }
                            ?: LeaseEvent.ReadFailed(effect.attempt)
                    }
                },
            )
        }
    }

    private fun write(effect: LeaseEffect.WriteRow) {
        val name = effect.record.name
        val value = recordJson.encodeToString(LeaseRecord.serializer(), effect.record)
        val transaction = RowTransaction(
            conditions = listOf(RowCondition(StoreTables.LEASES, "", name, effect.expectedVersion)),
            writes = listOf(RowWrite(StoreTables.LEASES, "", name, value)),
        )
        store.transact(transaction) { outcome -> onEvent(toEvent(effect, outcome)) }
    }

    private fun toEvent(
        effect: LeaseEffect.WriteRow,
        outcome: Outcome<TransactionResult>,
    ): LeaseEvent =
        when (outcome) {
            is Outcome.Failure -> {
                if (outcome.fault.kind == FaultKind.NOT_RUN) {
                    LeaseEvent.WriteNotRun(effect.attempt)
                } else {
                    LeaseEvent.WriteUnknown(effect.attempt)
                }
            }

            is Outcome.Success -> {
                when (val result = outcome.value) {
                    // A row's version is its transaction's number, so the new version is only known from the response.
                    is TransactionResult.Applied -> {
                        LeaseEvent.RowRead(effect.attempt, LeaseRow(result.version, effect.record))
                    }

                    is TransactionResult.Conflict -> {
                        leaseRow(result.rows.firstOrNull())
                            ?.let { LeaseEvent.WriteConflicted(effect.attempt, it) }
                            ?: LeaseEvent.WriteUnknown(effect.attempt)
                    }
                }
            }
        }

    /**
     * Converts a stored row for the lease decision. Returns null for an unreadable record: treating it as a free lease
     * would restart the fencing tokens.
     */
    private fun leaseRow(row: StoredRow?): LeaseRow? {
        if (row == null) return LeaseRow(0, null)
        return log.decodeRecord(row, LeaseRecord.serializer())?.let { LeaseRow(row.version, it) }
    }

    private companion object {
        private const val SOURCE = "lease"

        /** Jump between the monotonic clock and the wall clock that indicates a suspension, in milliseconds. */
        private const val SUSPENSION_THRESHOLD_MILLISECONDS = 150L
    }
}
