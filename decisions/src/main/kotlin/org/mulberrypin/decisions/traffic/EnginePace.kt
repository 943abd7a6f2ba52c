/** Measures how fast each engine generates, so that long tasks run on fast engines. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.meanTrust
import org.mulberrypin.decisions.work.trust

/**
 * The pace of an engine, smoothed over the events of all tasks that it runs for this instance.
 *
 * @property eventMilliseconds time between two events of one task of late, in milliseconds
 * @property usualMilliseconds the same over a longer time
 * @property samples number of intervals that were measured
 * @property measuredMilliseconds time of the last measurement
 */
public data class EnginePace(
    val eventMilliseconds: Double = 0.0,
    val usualMilliseconds: Double = 0.0,
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
    val usualWeight = maxOf(USUAL_SMOOTHING, 1.0 / (samples + 1))
    return EnginePace(
        eventMilliseconds = if (isFirst) interval else eventMilliseconds + (interval - eventMilliseconds) * SMOOTHING,
        usualMilliseconds = usualMilliseconds + (interval - usualMilliseconds) * usualWeight,
        samples = samples + 1,
        measuredMilliseconds = nowMilliseconds,
    )
}

/** The time between two events in milliseconds; null if too little was measured of late to rely on it. */
internal fun Backend.knownPace(nowMilliseconds: Long): Double? {
    val isRecent = nowMilliseconds - pace.measuredMilliseconds <= MAX_PACE_AGE_MILLISECONDS
    return pace.eventMilliseconds.takeIf { isRecent && pace.samples >= MIN_PACE_SAMPLES }
}

/**
 * Expected mean time between the next [events] events of a text, in milliseconds. The present pace holds for a while,
 * then the usual one; what was measured long ago gives way to [poolMilliseconds], the pace of the pool.
 */
internal fun Backend.expectedPace(
    events: Double,
    poolMilliseconds: Double,
    nowMilliseconds: Long,
): Double {
    if (pace.samples < MIN_PACE_SAMPLES) return poolMilliseconds
    val age = nowMilliseconds - pace.measuredMilliseconds
    val usualShare = trust(age, USUAL_LIFETIME_MILLISECONDS)
    val usual = poolMilliseconds + (pace.usualMilliseconds - poolMilliseconds) * usualShare
    val share = meanTrust(age, events * usual, PRESENT_LIFETIME_MILLISECONDS)
    return usual + (pace.eventMilliseconds - usual) * share
}

/** Mean pace of the [engines] whose pace is known, in milliseconds between two events. */
internal fun poolPace(
    engines: Collection<Backend>,
    nowMilliseconds: Long,
): Double {
    val known = engines.mapNotNull { it.knownPace(nowMilliseconds) }
    return if (known.isEmpty()) UNKNOWN_PACE_MILLISECONDS else known.average()
}

/** Weight of a new interval; the pace follows a change within about ten events. */
private const val SMOOTHING = 0.15

/** Weight of a new interval in the usual pace, which a slow time of some ten events changes little. */
private const val USUAL_SMOOTHING = 0.01

/** Intervals after which a pace is relied on. */
private const val MIN_PACE_SAMPLES = 8

/** Age at which a pace is no longer that of now, in milliseconds. */
private const val MAX_PACE_AGE_MILLISECONDS = 3_000L

/** Time after which a third of the present pace still holds, in milliseconds; machines are slow for about as long. */
private const val PRESENT_LIFETIME_MILLISECONDS = 600.0

/** Time after which a third of the usual pace still counts, so that an engine that was slow is tried again. */
private const val USUAL_LIFETIME_MILLISECONDS = 10_000.0

/** Pace of an engine in a pool of which nothing is known, in milliseconds between two events. */
private const val UNKNOWN_PACE_MILLISECONDS = 40.0
