package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.leases.LeaseEffect
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.LeaseRow
import org.mulberrypin.decisions.leases.LeaseState
import org.mulberrypin.decisions.leases.LeaseTerms
import org.mulberrypin.decisions.leases.covers
import org.mulberrypin.decisions.leases.decideLease
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionAnswer
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * Keeps one lease in the platform's store. All functions run on the thread of the control duty.
 *
 * The clock of a process stands still while its machine is suspended, and the time of day does not. A jump between the
 * two therefore ends the holder's trust in its lease until it was renewed.
 */
internal class LeaseKeeper(
    private val terms: LeaseTerms,
    private val store: RowStore,
    private val clock: ServiceClock,
    private val log: DecisionLog,
    private val tell: (LeaseEvent) -> Unit,
) {
    private var state = LeaseState(terms)
    private var wallOffset = clock.readWallMilliseconds() - clock.readMilliseconds()
    private var suspendedMilliseconds = Long.MIN_VALUE

    /** The lease if this instance holds it for at least [longestMilliseconds] more. */
    fun holdFor(longestMilliseconds: Long): LeaseHold? {
        noteSuspension()
        return state.hold?.takeIf { hold ->
            val renewed = hold.deadlineMilliseconds - terms.reliedOnMilliseconds
            renewed > suspendedMilliseconds && hold.covers(clock.readMilliseconds(), longestMilliseconds)
        }
    }

    fun handle(event: LeaseEvent) {
        noteSuspension()
        val transition = decideLease(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun noteSuspension() {
        val offset = clock.readWallMilliseconds() - clock.readMilliseconds()
        val jump = offset - wallOffset
        wallOffset = offset
        if (jump > JUMP_MILLISECONDS || jump < -JUMP_MILLISECONDS) {
            suspendedMilliseconds = clock.readMilliseconds()
            log.write(
                PART,
                terms.candidate,
                "suspension noticed",
                inputs = "jumpMilliseconds=$jump held=${state.hold != null}",
            )
        }
    }

    private fun perform(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.ReadRow -> read(effect)
            is LeaseEffect.WriteRow -> write(effect)
            is LeaseEffect.Taken -> note("taken", effect.hold)
            is LeaseEffect.Lost -> note("lost", effect.hold)
        }
    }

    private fun note(
        change: String,
        hold: LeaseHold,
    ) = log.write(
        PART,
        hold.name,
        "lease $change",
        terms.candidate,
        "token=${hold.fencingNumber} rowVersion=${hold.rowVersion}",
    )

    private fun read(effect: LeaseEffect.ReadRow) {
        store.readRows(RowRange(StoreTables.LEASES, "", effect.name, limit = 1)) { outcome ->
            tell(
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
        store.transact(transaction) { outcome -> tell(written(effect, outcome)) }
    }

    private fun written(
        effect: LeaseEffect.WriteRow,
        outcome: Outcome<TransactionAnswer>,
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
                when (val answer = outcome.value) {
                    // The store numbers rows by transactions, so the row's new version is only known from the answer.
                    is TransactionAnswer.Applied -> {
                        LeaseEvent.RowRead(effect.attempt, LeaseRow(answer.version, effect.record))
                    }

                    is TransactionAnswer.Conflict -> {
                        leaseRow(answer.rows.firstOrNull())
                            ?.let { LeaseEvent.WriteConflicted(effect.attempt, it) }
                            ?: LeaseEvent.WriteUnknown(effect.attempt)
                    }
                }
            }
        }

    /** The row as the decision takes it; null when its record cannot be read, so that nobody's numbers start anew. */
    private fun leaseRow(row: StoredRow?): LeaseRow? {
        if (row == null) return LeaseRow(0, null)
        return log.decodeRecord(row, LeaseRecord.serializer())?.let { LeaseRow(row.version, it) }
    }

    private companion object {
        private const val PART = "lease"

        /** A jump between the clock and the time of day that tells a suspension, in milliseconds. */
        private const val JUMP_MILLISECONDS = 150L
    }
}
