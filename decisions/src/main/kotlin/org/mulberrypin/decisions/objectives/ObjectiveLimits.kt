package org.mulberrypin.decisions.objectives

/**
 * Bounds of what an instance counts.
 *
 * @property series pairs of team and route that are counted apart; further ones are counted together
 * @property minutes minutes for which counts by minute are kept, the current one included
 * @property hours hours for which counts by hour are kept, the current one included; this is the budget period
 * @property openQuestions reports that wait for peers at the same time; one more is refused
 * @property questionMilliseconds time after which a report is made without the peers that are missing
 */
public data class ObjectiveLimits(
    val series: Int = 256,
    val minutes: Int = 360,
    val hours: Int = 72,
    val openQuestions: Int = 16,
    val questionMilliseconds: Long = 2_000,
)
