package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TrainerRecord

/**
 * A commit that makes this instance the holder of a step, conditional on the row versions that were read. The commit
 * also writes the heartbeat of this instance, so that no other instance can observe a holder without a heartbeat.
 *
 * @property lease the lease to write, with the expected version of its row, 0 for a missing row
 * @property record the step's record, with the expected version of its row, 0 for a missing row; written only for a
 *   new step
 * @property newRequest the request to write as an object before the commit; null for a takeover, which reads the
 *   request and the frozen batch after the commit
 * @property trainer the trainer's list of steps to write; null for a takeover
 * @property deletedSteps older steps of the trainer whose rows the commit deletes
 */
public data class StepOpenCommit(
    val key: StepKey,
    val lease: Versioned<LeaseRecord>,
    val record: Versioned<StepRecord>,
    val newRequest: StepRequest?,
    val trainer: Versioned<TrainerRecord>?,
    val deletedSteps: List<StepKey>,
    val heartbeat: LeaseRecord,
)
