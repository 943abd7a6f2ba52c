package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.TrainerRecord

/**
 * What the table service holds about a step.
 *
 * @property lease who holds the step; null when no instance has opened it
 * @property record how far the step got; null for an unknown step
 * @property trainer the newest steps of the trainer; null before its first step
 * @property heartbeat the heartbeat of the instance named by the lease; null when it has none
 */
public data class StepView(
    val lease: Versioned<LeaseRecord>? = null,
    val record: Versioned<StepRecord>? = null,
    val trainer: Versioned<TrainerRecord>? = null,
    val heartbeat: Versioned<LeaseRecord>? = null,
)
