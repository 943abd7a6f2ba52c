package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepObjects
import org.mulberrypin.decisions.rollouts.StepOpenCommit
import org.mulberrypin.decisions.rollouts.StepSnapshot
import org.mulberrypin.decisions.rollouts.StepWrite
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * Storage operations for rollout steps. All of them block the calling thread.
 *
 * @property readSnapshot reads the lease, record and trainer rows of a step and the heartbeat of its holder
 * @property open makes this instance the holder of a step, then reads the step request and any frozen batch; the second
 * value is null unless the first is [StoreResult.COMMITTED]
 * @property write writes the record of a held step; a newly frozen batch is stored first
 * @property renew writes the heartbeat of this instance; a failure is ignored, since the next renewal repeats it
 * @property release marks a lease as released
 */
public data class StepStore(
    val readSnapshot: (StepKey) -> Outcome<StepSnapshot>,
    val open: (StepOpenCommit) -> Pair<StoreResult, StepObjects?>,
    val write: (StepWrite) -> StoreResult,
    val renew: (LeaseRecord) -> Unit,
    val release: (StepKey, Versioned<LeaseRecord>) -> Unit,
)
