/** Measures how fast each engine generates, so that long tasks run on fast engines. */
package org.mulberrypin.decisions.traffic

/**
 * The pace of an engine, smoothed over the events of all tasks that it runs for this instance.
 *
 * @property eventMilliseconds time between two events of one task, in milliseconds
 * @property samples number of intervals that were measured
 * @property measuredMilliseconds time of the last measurement
 */
public data class EnginePace(
    val eventMilliseconds: Double = 0.0,
    val samples: Int = 0,
    val measuredMilliseconds: Long = Long.MIN_VALUE / 2,
)

/** Adds [events] events that arrived together, [elapsedMilliseconds] after the previous event of their task. */
internal fun EnginePace.measured(
    events: Int,
    elapsedMilliseconds: Long,
    nowMilliseconds: Long,
): EnginePace {
    if (events == 0) return this
    val interval = elapsedMilliseconds.toDouble() / events
    val isFirst = samples == 0 || nowMilliseconds - measuredMilliseconds > MAX_PACE_AGE_MILLISECONDS
    return EnginePace(
        eventMilliseconds = if (isFirst) interval else eventMilliseconds + (interval - eventMilliseconds) * SMOOTHING,
        samples = if (isFirst) 1 else samples + 1,
        measuredMilliseconds = nowMilliseconds,
    )
}

/** The time between two events in milliseconds; null if too little was measured of late to rely on it. */
internal fun Backend.knownPace(nowMilliseconds: Long): Double? {
    val isRecent = nowMilliseconds - pace.measuredMilliseconds <= MAX_PACE_AGE_MILLISECONDS
    return pace.eventMilliseconds.takeIf { isRecent && pace.samples >= MIN_PACE_SAMPLES }
}

/** Share by which an engine is slower than one with [bestPace], in eighths like occupancy; 0 if its pace is unknown. */
internal fun Backend.slowness(
    bestPace: Double?,
    nowMilliseconds: Long,
): Int {
    val own = knownPace(nowMilliseconds)
    if (own == null || bestPace == null || bestPace <= 0) return 0
    return ((own / bestPace - 1) * OCCUPANCY_STEPS).toInt().coerceIn(0, MAX_SLOWNESS)
}

/** Weight of a new interval; the pace follows a change within about ten events. */
private const val SMOOTHING = 0.15

/** Intervals after which a pace is relied on. */
private const val MIN_PACE_SAMPLES = 8

/** Age at which a pace is no longer relied on, in milliseconds, so that an engine that was slow is tried again. */
private const val MAX_PACE_AGE_MILLISECONDS = 3_000L

/** Upper bound of the slowness: such an engine is used only when all others are full. */
private const val MAX_SLOWNESS = 24
