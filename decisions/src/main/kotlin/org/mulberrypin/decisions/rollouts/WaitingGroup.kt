package org.mulberrypin.decisions.rollouts

/**
 * A group that has to be assigned.
 *
 * @property faults attempts that failed through the group itself
 * @property notBeforeMilliseconds time before which it is not assigned again
 */
public data class WaitingGroup(
    val faults: Int = 0,
    val notBeforeMilliseconds: Long = Long.MIN_VALUE,
)
