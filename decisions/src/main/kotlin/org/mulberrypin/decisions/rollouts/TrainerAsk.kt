package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.StepRequest

/** A trainer's call that waits for its answer. */
public sealed interface TrainerAsk {
    /** Number that differs between all calls of this process. */
    public val ask: Long

    /** The step that the call is about. */
    public val key: StepKey

    /** Name of the key under which the trainer calls. */
    public val keyName: String

    /** Asks for a step to be started or continued. */
    public data class Open(
        override val ask: Long,
        val request: StepRequest,
    ) : TrainerAsk {
        override val key: StepKey
            get() = StepKey(request.team, request.trainer, request.step)

        override val keyName: String
            get() = request.keyName
    }

    /**
     * Asks for the next batch of a step.
     *
     * @property passedOn true when another instance passed the call on; it is not passed on again
     */
    public data class NextBatch(
        override val ask: Long,
        val request: BatchRequest,
        val passedOn: Boolean,
    ) : TrainerAsk {
        override val key: StepKey
            get() = StepKey(request.team, request.trainer, request.step)

        override val keyName: String
            get() = request.keyName
    }
}
