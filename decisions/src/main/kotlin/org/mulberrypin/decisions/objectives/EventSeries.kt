package org.mulberrypin.decisions.objectives

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The counted events of one team on one route.
 *
 * @property minutes counts by minute, numbered since the Unix epoch
 * @property hours counts by hour, numbered since the Unix epoch
 */
public data class EventSeries(
    val minutes: PersistentMap<Long, EventTally> = persistentMapOf(),
    val hours: PersistentMap<Long, EventTally> = persistentMapOf(),
) {
    /** Adds [tally] at [wallMilliseconds] and removes the minutes and hours beyond the retention of [limits]. */
    internal fun add(
        tally: EventTally,
        wallMilliseconds: Long,
        limits: ObjectiveLimits,
    ): EventSeries {
        val minute = wallMilliseconds.floorDiv(MINUTE_MILLISECONDS)
        val hour = wallMilliseconds.floorDiv(HOUR_MILLISECONDS)
        return EventSeries(
            minutes = minutes.addAndTrim(minute, tally, limits.minutes),
            hours = hours.addAndTrim(hour, tally, limits.hours),
        )
    }

    /** Returns the sums of both series. */
    internal fun merge(other: EventSeries): EventSeries =
        EventSeries(
            minutes = other.minutes.entries.fold(minutes) { sum, (minute, tally) -> sum.addAt(minute, tally) },
            hours = other.hours.entries.fold(hours) { sum, (hour, tally) -> sum.addAt(hour, tally) },
        )
}

private fun PersistentMap<Long, EventTally>.addAndTrim(
    span: Long,
    tally: EventTally,
    retainedSpans: Int,
): PersistentMap<Long, EventTally> {
    val counted = addAt(span, tally)
    if (span in this) return counted
    val newestSpan = maxOf(span, keys.maxOrNull() ?: span)
    return counted.keys.filter { it <= newestSpan - retainedSpans }.fold(counted) { kept, old -> kept.remove(old) }
}

private fun PersistentMap<Long, EventTally>.addAt(
    span: Long,
    tally: EventTally,
): PersistentMap<Long, EventTally> = put(span, (this[span] ?: EventTally()) + tally)

internal const val MINUTE_MILLISECONDS = 60_000L
internal const val HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS
