package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * A pending read of the rows of a step that this instance does not hold.
 *
 * @property calls calls that await the outcome, at most [STEP_CALL_LIMIT]
 * @property opening the commit in progress that would make this instance the holder; null while the rows are read
 */
public data class StepLookup(
    val calls: PersistentList<TrainerCall> = persistentListOf(),
    val opening: StepOpenCommit? = null,
)
