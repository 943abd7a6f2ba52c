package org.mulberrypin.decisions.rollouts

/**
 * Settings of the runner decisions.
 *
 * @property sampleInFlightLimit number of samples in flight from which on no further group is started; all samples of
 *   a group start together, so that the number in flight can exceed it
 * @property sampleFailureLimit failed samples at which an attempt fails
 * @property longestRequestMilliseconds time limit of a sample, from its submission, where the assignment sets none
 * @property groupSelector strategy that chooses the next group to start
 * @property seed mixed into the sampling seed of each request
 */
public data class RunnerPolicy(
    val sampleInFlightLimit: Int,
    val sampleFailureLimit: Int,
    val longestRequestMilliseconds: Long,
    val groupSelector: GroupSelector = longestFirst,
    val seed: Long = 0,
)
