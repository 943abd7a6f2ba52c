package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEffect
import org.mulberrypin.decisions.billing.UsageCopiesEvent
import org.mulberrypin.decisions.billing.UsageCounterEffect
import org.mulberrypin.decisions.billing.UsageCounterEvent
import org.mulberrypin.decisions.billing.UsageRow
import org.mulberrypin.decisions.billing.usageInstanceKey
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.then
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.UsageCheckpoint

/** Executes the blocking table service operations for usage counters and for copies received from peers. */
internal class BillingStore(
    private val tables: TableService,
    private val postEvent: (BillingEvent) -> Unit,
) {
    fun execute(step: BillingStoreStep) {
        when (step) {
            is BillingStoreStep.Checkpoint -> postEvent(BillingEvent.CounterResult(writeCheckpoint(step.effect)))
            is BillingStoreStep.Copy -> executeCopyStep(step.effect)
        }
    }

    private fun writeCheckpoint(effect: UsageCounterEffect.WriteCheckpoint): UsageCounterEvent {
        val outcome = commit(effect.checkpoint, effect.expectedVersion)
        val response = (outcome as? Outcome.Success)?.value
        return when {
            response == null -> UsageCounterEvent.CheckpointFailed(effect.attempt)

            response.committed -> UsageCounterEvent.CheckpointWritten(effect.attempt)

            else -> UsageCounterEvent.CheckpointConflicted(
                effect.attempt,
                response.conflicts.firstOrNull()?.version ?: 0,
            )
        }
    }

    private fun commit(
        checkpoint: UsageCheckpoint,
        expectedVersion: Long,
    ): Outcome<TableCommitAnswer> {
        val key = CHECKPOINT_PREFIX + usageInstanceKey(checkpoint)
        return tables.commit(
            TableCommit(
                conditions = listOf(usageCondition(key, expectedVersion)),
                writes = listOf(usageWrite(key, checkpoint, UsageCheckpoint.serializer())),
            ),
        )
    }

    private fun executeCopyStep(effect: UsageCopiesEffect) {
        val event = when (effect) {
            is UsageCopiesEffect.ReadCheckpoint -> readCheckpoint(effect.key)
            is UsageCopiesEffect.WriteMerged -> writeMerged(effect)
        }
        if (event != null) postEvent(BillingEvent.CopiesResult(event))
    }

    /** Returns null if the row could not be read; the copy is then retried later. */
    private fun readCheckpoint(key: String): UsageCopiesEvent? {
        val read = tables.read(listOf(CHECKPOINT_PREFIX + key)).then { rows ->
            val row = rows.firstOrNull { it.version > 0 }
            if (row == null) {
                Outcome.Success(UsageRow(0, null))
            } else {
                usageRow(row, UsageCheckpoint.serializer()).map { UsageRow<UsageCheckpoint?>(it.version, it.value) }
            }
        }
        return (read as? Outcome.Success)?.let { UsageCopiesEvent.CheckpointRead(key, it.value) }
    }

    private fun writeMerged(effect: UsageCopiesEffect.WriteMerged): UsageCopiesEvent? {
        val outcome = commit(effect.checkpoint, effect.expectedVersion)
        val committed = outcome is Outcome.Success && outcome.value.committed
        return if (committed) UsageCopiesEvent.Merged(effect.key, effect.checkpoint.sequence) else null
    }
}
