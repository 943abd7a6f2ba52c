package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.PromptGroup

/** What the decisions about generating groups ask to be done. */
public sealed interface RunnerEffect {
    /** Hands a request in. */
    public data class Submit(
        val arrival: RequestArrival,
        val content: CompletionRequest,
    ) : RunnerEffect

    /** Cancels a request whose sample is no longer wanted. */
    public data class Cancel(
        val request: Long,
    ) : RunnerEffect

    /** Scores a whole sample; ends in [RunnerEvent.Scored]. */
    public data class Score(
        val request: Long,
        val group: PromptGroup,
        val text: String,
    ) : RunnerEffect

    /** Answers a call of a holder. */
    public data class AnswerGroup(
        val call: Long,
        val result: GroupResult,
    ) : RunnerEffect
}
