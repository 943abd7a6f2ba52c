/** Builds the answers to the calls of trainers. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.StepRecord

/** Delay that a trainer is told to wait before it repeats a call that cannot be answered yet. */
public const val RETRY_AFTER_MILLISECONDS: Long = 500

internal val retryLater = BatchAnswer(retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS)

internal fun rejected(failure: String) = BatchAnswer(failure = failure)

internal fun answerTo(
    call: TrainerCall,
    answer: BatchAnswer,
): StepEffect = StepEffect.Answer(call.callNumber, answer)

/** Builds the answer for a step without a frozen batch. */
internal fun StepRecord.answerWithoutBatch(): BatchAnswer =
    if (complete) {
        BatchAnswer(complete = true, failure = describeAbandoned(), voided = voided)
    } else {
        retryLater.copy(voided = voided)
    }

/** Builds the answer with the frozen batch, whose staleness was checked against [trainerVersion]. */
internal fun HeldStep.answerWithFrozen(trainerVersion: Long): BatchAnswer =
    BatchAnswer(batch = frozenBatch?.copy(trainerVersion = trainerVersion), voided = record.record.voided)

private fun StepRecord.describeAbandoned(): String =
    abandoned.joinToString(separator = " ") { "Group number ${it.group + 1} was abandoned: ${it.reason.trimEnd('.')}." }
