package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepOpened
import org.mulberrypin.decisions.rollouts.StepOpening
import org.mulberrypin.decisions.rollouts.StepView
import org.mulberrypin.decisions.rollouts.StepWrite
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * What rollouts keep in the platform's storage. All operations block the calling duty.
 *
 * @property readView reads the rows of a step
 * @property open makes this instance the holder of a step and then reads what it needs to hold it
 * @property write writes the record of a held step, after the batch that the record freezes
 * @property renew writes the heartbeat of this instance
 * @property release marks a lease as given up
 */
public data class StepStore(
    val readView: (StepKey) -> Outcome<StepView>,
    val open: (StepOpening) -> Pair<StoreResult, StepOpened?>,
    val write: (StepWrite) -> StoreResult,
    val renew: (LeaseRecord) -> Unit,
    val release: (StepKey, Versioned<LeaseRecord>) -> Unit,
)
