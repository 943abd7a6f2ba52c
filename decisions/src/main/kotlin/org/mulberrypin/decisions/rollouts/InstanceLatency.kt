package org.mulberrypin.decisions.rollouts

/**
 * Time per token that this holder has observed on an instance, including the queueing on that instance.
 *
 * @property millisecondsPerToken duration of a group divided by the tokens of its longest sample, as an
 *   exponentially weighted moving average over groups
 */
public data class InstanceLatency(
    val millisecondsPerToken: Double,
) {
    /** Adds a completed group to the moving average. */
    public fun add(
        groupMilliseconds: Long,
        longestTokens: Long,
    ): InstanceLatency {
        val newest = groupMilliseconds.toDouble() / longestTokens.coerceAtLeast(1)
        return InstanceLatency(millisecondsPerToken + (newest - millisecondsPerToken) * SMOOTHING_FACTOR)
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.2
    }
}
