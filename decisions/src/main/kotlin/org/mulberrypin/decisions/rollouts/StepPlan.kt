package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRecord

/** The step record that results from a call of the trainer, and the batch that it freezes, if any. */
internal data class StepPlan(
    val record: StepRecord,
    val batch: Batch?,
)
