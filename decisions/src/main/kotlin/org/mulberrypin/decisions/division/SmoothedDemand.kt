package org.mulberrypin.decisions.division

/**
 * Smoothed demand for one model over all instances.
 *
 * @property tokensPerSecond output tokens that recent steps asked for each second
 * @property remainingTokens output tokens that open jobs still ask for
 * @property waitingTasks tasks that wait for an engine
 * @property runningTasks tasks that run
 * @property taskTokensPerSecond output tokens that one task gets each second; 0 if unknown
 */
public data class SmoothedDemand(
    val tokensPerSecond: Double = 0.0,
    val remainingTokens: Double = 0.0,
    val waitingTasks: Double = 0.0,
    val runningTasks: Double = 0.0,
    val taskTokensPerSecond: Double = 0.0,
) {
    /** Tokens that the model's engines have to generate each second to keep up and to work off what is open. */
    val work: Double
        get() = tokensPerSecond + remainingTokens / BACKLOG_SECONDS
}

/** Time within which open work should be done, in seconds: that in which a step is due. */
private const val BACKLOG_SECONDS = 7.5
