package org.mulberrypin.decisions.rollouts

/**
 * Settings of the step decisions.
 *
 * @property instance name of this instance
 * @property incarnation number that differs between two starts of this instance
 * @property batchGroups maximum number of groups in a batch
 * @property groupAttemptLimit number of attempts whose failure is caused by the group itself after which the group
 *   is abandoned
 * @property overSamplingRatio maximum number of additional samples, relative to the number of samples requested
 * @property sampleInFlightLimit number of samples in flight from which on no further group of a step is started
 * @property leaseMilliseconds time without a new heartbeat after which another instance takes a step over; includes a
 *   margin for the rate difference between the clocks
 * @property renewalMilliseconds interval between two heartbeats
 * @property groupSelector strategy that chooses the next group to start
 * @property instanceSelector strategy that chooses the instance for a group
 */
public data class StepPolicy(
    val instance: String,
    val incarnation: Long,
    val batchGroups: Int,
    val groupAttemptLimit: Int,
    val overSamplingRatio: Double,
    val sampleInFlightLimit: Int,
    val leaseMilliseconds: Long,
    val renewalMilliseconds: Long,
    val groupSelector: GroupSelector = longestFirst,
    val instanceSelector: InstanceSelector = earliestCompletion,
)
