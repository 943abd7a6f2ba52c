package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.PromptGroup

/** Effects that the runner decisions request. */
public sealed interface RunnerEffect {
    /** Submits a completion request; replies arrive as [RunnerEvent.Replied]. */
    public data class Submit(
        val arrival: RequestArrival,
        val content: CompletionRequest,
    ) : RunnerEffect

    /** Cancels a request whose sample is no longer needed. */
    public data class Cancel(
        val request: Long,
    ) : RunnerEffect

    /** Scores a completed sample; results in [RunnerEvent.Scored]. */
    public data class Score(
        val request: Long,
        val group: PromptGroup,
        val text: String,
    ) : RunnerEffect

    /** Answers a call from the holder of a step. */
    public data class AnswerGroup(
        val call: Long,
        val result: GroupResult,
    ) : RunnerEffect
}
