package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer

/** The storage operation that a held step is waiting for; a step runs one at a time. */
public sealed interface StepWork {
    /** No operation; the next call of the trainer can be handled. */
    public data object None : StepWork

    /**
     * A write of the step record, in progress or scheduled.
     *
     * @property call the call to answer after the commit; null when it was already answered with a retry delay
     * @property retryAtMilliseconds time at which the write is repeated; null while its outcome is pending
     * @property conflicted true while the rows are read after a conflict
     */
    public data class Writing(
        val write: StepWrite,
        val call: TrainerCall.NextBatch?,
        val retryAtMilliseconds: Long? = null,
        val conflicted: Boolean = false,
    ) : StepWork

    /** A read of the lease before [answer] is sent; the answer was computed from a record that may be outdated. */
    public data class Verifying(
        val call: TrainerCall.NextBatch,
        val answer: BatchAnswer,
    ) : StepWork
}
