package org.mulberrypin.decisions.objectives

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The counted events of one team on one route.
 *
 * @property minutes counts by the number of the minute since the Unix epoch
 * @property hours counts by the number of the hour since the Unix epoch
 */
public data class EventSeries(
    val minutes: PersistentMap<Long, EventTally> = persistentMapOf(),
    val hours: PersistentMap<Long, EventTally> = persistentMapOf(),
) {
    /** Counts [tally] at a time and forgets the spans that [limits] does not keep. */
    internal fun add(
        tally: EventTally,
        wallMilliseconds: Long,
        limits: ObjectiveLimits,
    ): EventSeries {
        val minute = wallMilliseconds.floorDiv(MINUTE_MILLISECONDS)
        val hour = wallMilliseconds.floorDiv(HOUR_MILLISECONDS)
        return EventSeries(
            minutes = minutes.counting(minute, tally, limits.minutes),
            hours = hours.counting(hour, tally, limits.hours),
        )
    }

    /** The events of both series. */
    internal fun merge(other: EventSeries): EventSeries =
        EventSeries(
            minutes = other.minutes.entries.fold(minutes) { sum, (minute, tally) -> sum.adding(minute, tally) },
            hours = other.hours.entries.fold(hours) { sum, (hour, tally) -> sum.adding(hour, tally) },
        )
}

private fun PersistentMap<Long, EventTally>.counting(
    span: Long,
    tally: EventTally,
    spans: Int,
): PersistentMap<Long, EventTally> {
    val counted = adding(span, tally)
    if (span in this) return counted
    val newest = maxOf(span, keys.maxOrNull() ?: span)
    return counted.keys.filter { it <= newest - spans }.fold(counted) { kept, old -> kept.remove(old) }
}

private fun PersistentMap<Long, EventTally>.adding(
    span: Long,
    tally: EventTally,
): PersistentMap<Long, EventTally> = put(span, (this[span] ?: EventTally()) + tally)

internal const val MINUTE_MILLISECONDS = 60_000L
internal const val HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS
