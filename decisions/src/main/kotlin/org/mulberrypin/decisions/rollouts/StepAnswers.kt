/** The answers that trainers get. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.StepRecord

/** Time after which a trainer asks again when there is nothing for it yet. */
public const val ASK_AGAIN_MILLISECONDS: Long = 500

internal val askAgain = BatchAnswer(retryAfterMilliseconds = ASK_AGAIN_MILLISECONDS)

internal fun refused(failure: String) = BatchAnswer(failure = failure)

internal fun answerTo(
    ask: TrainerAsk,
    answer: BatchAnswer,
): StepEffect = StepEffect.Answer(ask.ask, answer)

/** Answers a call from the record when there is no batch to hand out. */
internal fun StepRecord.answerWithoutBatch(): BatchAnswer =
    if (complete) {
        BatchAnswer(complete = true, failure = describeAbandoned(), voided = voided)
    } else {
        askAgain.copy(voided = voided)
    }

/** Hands out the frozen batch, which was checked against [trainerVersion]. */
internal fun HeldStep.answerWithFrozen(trainerVersion: Long): BatchAnswer =
    BatchAnswer(batch = frozenBatch?.copy(trainerVersion = trainerVersion), voided = record.record.voided)

private fun StepRecord.describeAbandoned(): String =
    abandoned.joinToString(separator = " ") { "Group number ${it.group + 1} was abandoned: ${it.reason.trimEnd('.')}." }
