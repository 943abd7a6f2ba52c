package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TrainerRecord

/**
 * A commit that makes this instance the holder of a step, conditional on the rows being as they were read. The commit
 * also writes the heartbeat of this instance, so that a holder without one is never seen.
 *
 * @property lease the lease to write; its version is the one expected, 0 for a missing row
 * @property record the step's record; its version is the one expected, 0 for a missing row; written only for a new step
 * @property newStep the request to write as an object before the commit; null when a step is taken over, in which case
 *   the request and the frozen batch are read after the commit
 * @property trainer the trainer's list of steps to write; null when a step is taken over
 * @property forgotten steps whose rows the commit deletes
 */
public data class StepOpening(
    val key: StepKey,
    val lease: Versioned<LeaseRecord>,
    val record: Versioned<StepRecord>,
    val newStep: StepRequest?,
    val trainer: Versioned<TrainerRecord>?,
    val forgotten: List<StepKey>,
    val heartbeat: LeaseRecord,
)
