package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.StepRequest

/** A call from a trainer that has not been answered. */
public sealed interface TrainerCall {
    /** Number that identifies the call within this process. */
    public val callNumber: Long

    /** The step that the call refers to. */
    public val key: StepKey

    /** Name of the API key that the call used. */
    public val keyName: String

    /** A call that starts or continues a step. */
    public data class Open(
        override val callNumber: Long,
        val request: StepRequest,
    ) : TrainerCall {
        override val key: StepKey
            get() = StepKey(request.team, request.trainer, request.step)

        override val keyName: String
            get() = request.keyName
    }

    /**
     * A call for the next batch of a step.
     *
     * @property isForwarded true if another instance forwarded the call; it is not forwarded again
     */
    public data class NextBatch(
        override val callNumber: Long,
        val request: BatchRequest,
        val isForwarded: Boolean,
    ) : TrainerCall {
        override val key: StepKey
            get() = StepKey(request.team, request.trainer, request.step)

        override val keyName: String
            get() = request.keyName
    }
}
