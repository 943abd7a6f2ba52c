package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap

/**
 * A group that instances are generating.
 *
 * @property faults earlier attempts that failed through the group itself
 * @property attempts attempts under way by their numbers; the first whole and fresh result is taken
 */
public data class RunningGroup(
    val faults: Int,
    val attempts: PersistentMap<Int, GroupAttempt>,
)
