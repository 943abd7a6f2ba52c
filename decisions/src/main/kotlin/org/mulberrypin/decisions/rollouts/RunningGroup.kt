package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap

/**
 * A group with attempts in flight.
 *
 * @property groupFailures earlier attempts whose failure was caused by the group itself
 * @property attempts attempts in flight, keyed by number; the first complete result within the staleness bound is used
 */
public data class RunningGroup(
    val groupFailures: Int,
    val attempts: PersistentMap<Int, GroupAttempt>,
)
