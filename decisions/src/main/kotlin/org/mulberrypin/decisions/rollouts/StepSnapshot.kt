package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.TrainerRecord

/**
 * The rows of a step in the table service.
 *
 * @property lease the lease, which names the holder; null when no instance has opened the step
 * @property record progress of the step; null for an unknown step
 * @property trainer list of the newest steps of the trainer; null before its first step
 * @property heartbeat heartbeat of the instance that the lease names; null when it has none
 */
public data class StepSnapshot(
    val lease: Versioned<LeaseRecord>? = null,
    val record: Versioned<StepRecord>? = null,
    val trainer: Versioned<TrainerRecord>? = null,
    val heartbeat: Versioned<LeaseRecord>? = null,
)
