package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * A step that this instance does not hold and is asking the table service about.
 *
 * @property asks calls that wait for the outcome, at most [STEP_ASK_LIMIT]
 * @property opening true while a commit that would make this instance the holder is under way
 */
public data class StepLookup(
    val asks: PersistentList<TrainerAsk> = persistentListOf(),
    val opening: StepOpening? = null,
)
