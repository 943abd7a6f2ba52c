/** What this instance has observed of a pool of late: run times, refusals and what is left for retries. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.requests.RetryBudget

/**
 * Observations of a pool.
 *
 * @property shortestRunMilliseconds shortest time of late that a server took for a request, its queue left out
 * @property meanRunMilliseconds mean of that time
 * @property samples number of run times that were measured
 * @property measuredMilliseconds time of the last measurement
 * @property pressedMilliseconds time of the last refusal by a server for want of room, or of the last attempt that got
 *   no response in time
 * @property attemptedMilliseconds time of the last first attempt
 * @property retries retries that the pool may still be given while it is short of room
 */
public data class PoolPressure(
    val shortestRunMilliseconds: Double = 0.0,
    val meanRunMilliseconds: Double = 0.0,
    val samples: Int = 0,
    val measuredMilliseconds: Long = Long.MIN_VALUE / 2,
    val pressedMilliseconds: Long = Long.MIN_VALUE / 2,
    val attemptedMilliseconds: Long = Long.MIN_VALUE / 2,
    val retries: RetryBudget = RetryBudget(),
)

/** Adds the run time of a request. */
internal fun PoolPressure.withRun(
    runMilliseconds: Double,
    nowMilliseconds: Long,
): PoolPressure {
    val run = runMilliseconds.coerceAtLeast(1.0)
    val isFirst = samples == 0 || nowMilliseconds - measuredMilliseconds > MAX_RUN_AGE_MILLISECONDS
    return copy(
        shortestRunMilliseconds = if (isFirst) run else minOf(run, shortestRunMilliseconds * SHORTEST_RUN_GROWTH),
        meanRunMilliseconds = if (isFirst) run else meanRunMilliseconds + (run - meanRunMilliseconds) * SMOOTHING,
        samples = if (isFirst) 1 else samples + 1,
        measuredMilliseconds = nowMilliseconds,
    )
}

/** Whether run times have been measured often enough of late to rely on them. */
internal fun PoolPressure.knowsRunTimes(nowMilliseconds: Long): Boolean =
    samples >= MIN_RUN_SAMPLES && nowMilliseconds - measuredMilliseconds <= MAX_RUN_AGE_MILLISECONDS

/** Whether a server of the pool refused or timed out of late. */
internal fun PoolPressure.isPressed(nowMilliseconds: Long): Boolean =
    nowMilliseconds - pressedMilliseconds <= PRESSURE_MILLISECONDS

/** Whether nothing has been observed for so long that the observations say nothing any more. */
internal fun PoolPressure.isOutdated(nowMilliseconds: Long): Boolean =
    nowMilliseconds - maxOf(measuredMilliseconds, pressedMilliseconds, attemptedMilliseconds) > MAX_RUN_AGE_MILLISECONDS

/** Age at which run times are ignored, in milliseconds. */
private const val MAX_RUN_AGE_MILLISECONDS = 10_000L

/** Run times after which they are relied on. */
private const val MIN_RUN_SAMPLES = 8

/** Time for which a pool counts as pressed after a refusal or a time-out, in milliseconds. */
private const val PRESSURE_MILLISECONDS = 1_000L

/** Growth of the shortest run time with each longer one, so that it follows a pool that has become slower. */
private const val SHORTEST_RUN_GROWTH = 1.02

/** Weight of a new run time in the mean. */
private const val SMOOTHING = 0.1
