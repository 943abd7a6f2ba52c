package org.mulberrypin.decisions.rollouts

/**
 * One attempt at a group.
 *
 * @property instance instance that generates the group
 * @property startedMilliseconds when it was assigned, by the clock of this process
 * @property additionalSamples additional samples granted to it
 */
public data class GroupAttempt(
    val instance: String,
    val startedMilliseconds: Long,
    val additionalSamples: Int,
)
