package org.mulberrypin.decisions.rollouts

/**
 * An instance that could generate a group.
 *
 * @property samplesUnderWay samples that this holder has assigned to it
 * @property millisecondsPerToken how long it takes for a token of a group's longest sample, its waiting included; the
 *   mean of all instances where nothing is known
 */
public data class InstanceCandidate(
    val samplesUnderWay: Int,
    val millisecondsPerToken: Double,
)
