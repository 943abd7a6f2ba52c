package org.mulberrypin.decisions.rollouts

/**
 * A group that has not been assigned or has to be assigned again.
 *
 * @property groupFailures attempts whose failure was caused by the group itself
 * @property notBeforeMilliseconds earliest time of the next assignment, by the clock of this process
 */
public data class WaitingGroup(
    val groupFailures: Int = 0,
    val notBeforeMilliseconds: Long = Long.MIN_VALUE,
)
