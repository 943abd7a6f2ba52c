/**
 * Counts good and bad events of each team on each route, by minute and by hour. Spans are those of the wall clock, so
 * that the counts of several instances add up.
 */
package org.mulberrypin.decisions.objectives

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.BurnCounts
import org.mulberrypin.schema.generated.EventCount

/** The counted events by team and route. */
public data class EventLedger(
    val limits: ObjectiveLimits,
    val series: PersistentMap<SeriesName, EventSeries> = persistentMapOf(),
)

/** Counts [event] at a time of the wall clock. */
internal fun EventLedger.record(
    event: ObjectiveEvent,
    wallMilliseconds: Long,
): EventLedger {
    val tally = if (event.good) EventTally(good = 1) else EventTally(bad = 1)
    val wanted = SeriesName(event.team, event.route)
    val name = if (wanted in series || series.size < limits.series) wanted else furtherSeries
    val counted = (series[name] ?: EventSeries()).add(tally, wallMilliseconds, limits)
    return copy(series = series.put(name, counted))
}

/** Forgets the series of which no hour is kept any more. */
internal fun EventLedger.forgetIdle(wallMilliseconds: Long): EventLedger {
    val oldestHour = wallMilliseconds.floorDiv(HOUR_MILLISECONDS) - limits.hours + 1
    val idle = series.filterValues { it.hours.keys.none { hour -> hour >= oldestHour } }
    return if (idle.isEmpty()) this else copy(series = idle.keys.fold(series) { kept, name -> kept.remove(name) })
}

/** The counts as they go to another instance. */
internal fun EventLedger.counts(): List<BurnCounts> =
    series.map { (name, events) ->
        BurnCounts(
            team = name.team,
            route = name.route,
            minutes = events.minutes.toCounts(MINUTE_MILLISECONDS),
            hours = events.hours.toCounts(HOUR_MILLISECONDS),
        )
    }

/** Adds up counts of several instances. */
internal fun mergeCounts(counts: List<BurnCounts>): Map<SeriesName, EventSeries> =
    counts
        .groupBy { SeriesName(it.team, it.route) }
        .mapValues { (_, same) -> same.map(BurnCounts::toSeries).reduce(EventSeries::merge) }

private fun BurnCounts.toSeries(): EventSeries =
    EventSeries(
        minutes = minutes.toTallies(MINUTE_MILLISECONDS),
        hours = hours.toTallies(HOUR_MILLISECONDS),
    )

private fun Map<Long, EventTally>.toCounts(spanMilliseconds: Long): List<EventCount> =
    entries
        .sortedBy { it.key }
        .map { (span, tally) -> EventCount(span * spanMilliseconds, tally.good, tally.bad) }

private fun List<EventCount>.toTallies(spanMilliseconds: Long): PersistentMap<Long, EventTally> =
    fold(persistentMapOf()) { tallies, count ->
        val span = count.startWallMilliseconds.floorDiv(spanMilliseconds)
        tallies.put(span, (tallies[span] ?: EventTally()) + EventTally(count.good, count.bad))
    }

/** Counts the pairs beyond the bound together. */
private val furtherSeries = SeriesName(team = "", route = "")
