package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRequest

/**
 * The objects of a step that were read after this instance became its holder.
 *
 * @property request the step request, including its groups
 * @property frozenBatch the frozen batch that the trainer has not acknowledged, if any
 */
public data class StepObjects(
    val request: StepRequest,
    val frozenBatch: Batch?,
)
