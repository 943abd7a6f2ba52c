package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRequest

/**
 * What was read after a step was opened.
 *
 * @property request the request with its groups
 * @property frozenBatch the batch that was fixed and is not acknowledged, if any
 */
public data class StepOpened(
    val request: StepRequest,
    val frozenBatch: Batch?,
)
