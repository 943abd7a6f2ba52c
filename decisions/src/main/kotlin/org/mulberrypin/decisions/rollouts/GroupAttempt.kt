package org.mulberrypin.decisions.rollouts

/**
 * One attempt at generating a group, as its holder records it.
 *
 * @property instance name of the instance that generates the group
 * @property startedMilliseconds time of the assignment, by the clock of this process
 * @property additionalSamples number of additional samples that the instance may start
 */
public data class GroupAttempt(
    val instance: String,
    val startedMilliseconds: Long,
    val additionalSamples: Int,
)
