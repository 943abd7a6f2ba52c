package org.mulberrypin.decisions.rollouts

/**
 * An instance from which an [InstanceSelector] may choose.
 *
 * @property samplesInFlight samples in flight that this holder has assigned to the instance
 * @property millisecondsPerToken time per token of a group's longest sample, in milliseconds, including queueing; the
 *   mean over all instances where no group has been measured
 */
public data class InstanceCandidate(
    val samplesInFlight: Int,
    val millisecondsPerToken: Double,
)
