package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer

/** What a held step is waiting for; a step does one thing at a time. */
public sealed interface StepWork {
    /** Nothing; the next call of the trainer can be taken. */
    public data object None : StepWork

    /**
     * A write under way.
     *
     * @property ask the call that is answered after the commit; null when it was told to ask again
     * @property retryAtMilliseconds when the write is repeated; null while its outcome is awaited
     * @property conflicted true when a conflict made it necessary to read the rows
     */
    public data class Writing(
        val write: StepWrite,
        val ask: TrainerAsk.NextBatch?,
        val retryAtMilliseconds: Long? = null,
        val conflicted: Boolean = false,
    ) : StepWork

    /** The lease is read again before [answer] is given, because it rests on the record as this instance knows it. */
    public data class Verifying(
        val ask: TrainerAsk.NextBatch,
        val answer: BatchAnswer,
    ) : StepWork
}
