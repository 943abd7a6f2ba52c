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

/** Carries out the blocking steps of counting and of copies at the table service. */
internal class BillingStore(
    private val tables: TableService,
    private val answer: (BillingEvent) -> Unit,
) {
    fun carryOut(step: BillingStoreStep) {
        when (step) {
            is BillingStoreStep.Checkpoint -> answer(BillingEvent.CounterAnswer(writeCheckpoint(step.effect)))
            is BillingStoreStep.Copy -> carryOutCopy(step.effect)
        }
    }

    private fun writeCheckpoint(effect: UsageCounterEffect.WriteCheckpoint): UsageCounterEvent {
        val outcome = commit(effect.checkpoint, effect.expectedVersion)
        val written = (outcome as? Outcome.Success)?.value
        return when {
            written == null -> UsageCounterEvent.CheckpointFailed(effect.attempt)

            written.committed -> UsageCounterEvent.CheckpointWritten(effect.attempt)

            else -> UsageCounterEvent.CheckpointConflicted(
                effect.attempt,
                written.conflicts.firstOrNull()?.version ?: 0,
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

    private fun carryOutCopy(effect: UsageCopiesEffect) {
        val event = when (effect) {
            is UsageCopiesEffect.ReadCheckpoint -> readCheckpoint(effect.key)
            is UsageCopiesEffect.WriteMerged -> writeMerged(effect)
        }
        if (event != null) answer(BillingEvent.CopiesAnswer(event))
    }

    /** Answers null when the row could not be read; the copy is then tried again later. */
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
