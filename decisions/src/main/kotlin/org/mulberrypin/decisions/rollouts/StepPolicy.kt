package org.mulberrypin.decisions.rollouts

/**
 * The settings of the decisions about steps.
 *
 * @property instance name of this instance
 * @property incarnation differs between two starts of this instance
 * @property batchGroups groups delivered together at most
 * @property groupAttemptLimit attempts that may fail through a group itself before it is abandoned
 * @property overSamplingRatio additional samples, as a ratio of those asked for
 * @property inFlightSamples samples of one step under way at the same time at most
 * @property leaseMilliseconds time without a heartbeat after which a step is taken over, rate difference of the clocks
 *   included
 * @property renewalMilliseconds time between two heartbeats
 * @property order which group is started next
 * @property instanceOrder which instance generates it
 */
public data class StepPolicy(
    val instance: String,
    val incarnation: Long,
    val batchGroups: Int,
    val groupAttemptLimit: Int,
    val overSamplingRatio: Double,
    val inFlightSamples: Int,
    val leaseMilliseconds: Long,
    val renewalMilliseconds: Long,
    val order: GroupOrder = longestFirst,
    val instanceOrder: InstanceOrder = earliestEnd,
)
