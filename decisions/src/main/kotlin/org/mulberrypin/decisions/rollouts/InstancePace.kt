package org.mulberrypin.decisions.rollouts

/**
 * How fast an instance has generated groups for this holder, its own waiting included.
 *
 * @property millisecondsPerToken time of a group over the tokens of its longest sample, smoothed over groups
 */
public data class InstancePace(
    val millisecondsPerToken: Double,
) {
    /** Takes in a finished group. */
    public fun add(
        groupMilliseconds: Long,
        longestTokens: Long,
    ): InstancePace {
        val newest = groupMilliseconds.toDouble() / longestTokens.coerceAtLeast(1)
        return InstancePace(millisecondsPerToken + (newest - millisecondsPerToken) * NEWEST_WEIGHT)
    }

    private companion object {
        const val NEWEST_WEIGHT = 0.2
    }
}
