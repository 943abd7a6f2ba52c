package org.mulberrypin.decisions.rollouts

/**
 * The settings of the decisions about generating groups.
 *
 * @property sampleLimit samples under way on this instance at the same time at most; a group is started whole
 * @property sampleFailureLimit samples of an attempt that may fail before the group goes back to its holder
 * @property longestRequestMilliseconds time that a sample may take when the holder set none
 * @property order which group is started next
 * @property seed seed for the choices of the requests
 */
public data class RunnerPolicy(
    val sampleLimit: Int,
    val sampleFailureLimit: Int,
    val longestRequestMilliseconds: Long,
    val order: GroupOrder = longestFirst,
    val seed: Long = 0,
)
