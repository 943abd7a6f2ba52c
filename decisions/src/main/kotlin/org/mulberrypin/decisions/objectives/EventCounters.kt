/**
 * Counts good and bad events of each team on each route, by minute and by hour. Minutes and hours are aligned to the
 * wall clock, so that the counts of several instances can be added.
 */
package org.mulberrypin.decisions.objectives

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.BurnCounts
import org.mulberrypin.schema.generated.EventCount

/**
 * The counted events by team and route.
 *
 * @property series the counts of each pair of team and route
 */
public data class EventCounters(
    val limits: ObjectiveLimits,
    val series: PersistentMap<SeriesName, EventSeries> = persistentMapOf(),
)

/** Counts [event] at [wallMilliseconds] since the Unix epoch. */
internal fun EventCounters.record(
    event: ObjectiveEvent,
    wallMilliseconds: Long,
): EventCounters {
    val tally = if (event.good) EventTally(good = 1) else EventTally(bad = 1)
    val ownName = SeriesName(event.team, event.route)
    val name = if (ownName in series || series.size < limits.series) ownName else overflowSeries
    val counted = (series[name] ?: EventSeries()).add(tally, wallMilliseconds, limits)
    return copy(series = series.put(name, counted))
}

/** Removes the series without counts in the retained hours. */
internal fun EventCounters.removeIdle(wallMilliseconds: Long): EventCounters {
    val oldestHour = wallMilliseconds.floorDiv(HOUR_MILLISECONDS) - limits.hours + 1
    val idle = series.filterValues { it.hours.keys.none { hour -> hour >= oldestHour } }
    return if (idle.isEmpty()) this else copy(series = idle.keys.fold(series) { kept, name -> kept.remove(name) })
}

/** Returns the counts in the form in which they are sent to other instances. */
internal fun EventCounters.counts(): List<BurnCounts> =
    series.map { (name, events) ->
        BurnCounts(
            team = name.team,
            route = name.route,
            minutes = events.minutes.toCounts(MINUTE_MILLISECONDS),
            hours = events.hours.toCounts(HOUR_MILLISECONDS),
        )
    }

/** Adds the counts of several instances. */
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

/** The series in which pairs beyond [ObjectiveLimits.series] are counted together. */
private val overflowSeries = SeriesName(team = "", route = "")
