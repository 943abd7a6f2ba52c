/**
 * Burn rates of error budgets. An objective of 990 per mille leaves an error budget of 10 per mille. A burn rate of 1
 * consumes it exactly over the budget period, a higher one sooner. A window includes the current minute, or the current
 * hour if the window is longer than the retention of the counts by minute.
 */
package org.mulberrypin.decisions.objectives

import org.mulberrypin.schema.generated.BurnAlarm
import org.mulberrypin.schema.generated.BurnHour
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnWindow
import org.mulberrypin.schema.generated.Team

/** Computes the line of the report for [series], measured against the objective of [team]. */
internal fun burnLine(
    name: SeriesName,
    series: EventSeries,
    team: Team,
    wallMilliseconds: Long,
    limits: ObjectiveLimits,
): BurnLine {
    val budget = errorBudget(team.objectivePerMille)
    val hours = burnHours(series, budget, wallMilliseconds, limits)
    val total = hours.fold(EventTally()) { sum, hour -> sum + EventTally(hour.good, hour.bad) }
    val windows = windowLengths.map { length -> burnWindow(series, length, budget, wallMilliseconds, limits) }
    return BurnLine(
        team = name.team,
        route = name.route,
        objectivePerMille = team.objectivePerMille,
        targetMilliseconds = team.targetMilliseconds,
        good = total.good,
        bad = total.bad,
        budgetLeftRatio = 1 - burnRate(total, budget),
        windows = windows,
        alarms = firingAlarms(windows),
        worstHour = hours.filter { it.burnRate > 0 }.maxByOrNull(BurnHour::burnRate),
        hours = hours,
    )
}

private fun burnWindow(
    series: EventSeries,
    lengthMilliseconds: Long,
    budget: Double,
    wallMilliseconds: Long,
    limits: ObjectiveLimits,
): BurnWindow {
    val isCountedByMinute = lengthMilliseconds <= limits.minutes * MINUTE_MILLISECONDS
    val tally = when {
        isCountedByMinute -> sumLatestSpans(series.minutes, lengthMilliseconds, MINUTE_MILLISECONDS, wallMilliseconds)
        else -> sumLatestSpans(series.hours, lengthMilliseconds, HOUR_MILLISECONDS, wallMilliseconds)
    }
    return BurnWindow(lengthMilliseconds, tally.good, tally.bad, burnRate(tally, budget))
}

private fun sumLatestSpans(
    tallies: Map<Long, EventTally>,
    lengthMilliseconds: Long,
    spanMilliseconds: Long,
    wallMilliseconds: Long,
): EventTally {
    val current = wallMilliseconds.floorDiv(spanMilliseconds)
    val first = current - lengthMilliseconds / spanMilliseconds + 1
    return tallies.filterKeys { it in first..current }.values.fold(EventTally(), EventTally::plus)
}

private fun burnHours(
    series: EventSeries,
    budget: Double,
    wallMilliseconds: Long,
    limits: ObjectiveLimits,
): List<BurnHour> {
    val current = wallMilliseconds.floorDiv(HOUR_MILLISECONDS)
    return series.hours
        .filterKeys { it in current - limits.hours + 1..current }
        .toSortedMap()
        .map { (hour, tally) ->
            BurnHour(hour * HOUR_MILLISECONDS, tally.good, tally.bad, burnRate(tally, budget))
        }
}

private fun firingAlarms(windows: List<BurnWindow>): List<BurnAlarm> {
    val rates = windows.associate { it.lengthMilliseconds to it.burnRate }
    return alarmDefinitions.filter { alarm ->
        rates.getValue(alarm.shortMilliseconds) >= alarm.rate && rates.getValue(alarm.longMilliseconds) >= alarm.rate
    }
}

/**
 * Returns the fraction of events that may be bad, or 0 without an objective. An objective of 1000 per mille counts as
 * 999, because burn rates are undefined without an error budget.
 */
private fun errorBudget(objectivePerMille: Int): Double =
    if (objectivePerMille <= 0) 0.0 else 1 - objectivePerMille.coerceAtMost(MAXIMUM_OBJECTIVE_PER_MILLE) / PER_MILLE

private fun burnRate(
    tally: EventTally,
    budget: Double,
): Double = if (tally.total == 0L || budget == 0.0) 0.0 else tally.bad.toDouble() / tally.total / budget

private const val MAXIMUM_OBJECTIVE_PER_MILLE = 999
private const val PER_MILLE = 1_000.0

private const val FIVE_MINUTES = 5 * MINUTE_MILLISECONDS
private const val HALF_HOUR = 30 * MINUTE_MILLISECONDS
private const val ONE_HOUR = HOUR_MILLISECONDS
private const val SIX_HOURS = 6 * HOUR_MILLISECONDS
private const val THREE_DAYS = 72 * HOUR_MILLISECONDS

/** Lengths of the reported windows, in milliseconds. */
private val windowLengths = listOf(FIVE_MINUTES, HALF_HOUR, ONE_HOUR, SIX_HOURS, THREE_DAYS)

/** These rates consume 2%, 5% and 10% of a 30-day budget within the longer window. */
private val alarmDefinitions = listOf(
    BurnAlarm(shortMilliseconds = FIVE_MINUTES, longMilliseconds = ONE_HOUR, rate = 14.4),
    BurnAlarm(shortMilliseconds = HALF_HOUR, longMilliseconds = SIX_HOURS, rate = 6.0),
    BurnAlarm(shortMilliseconds = SIX_HOURS, longMilliseconds = THREE_DAYS, rate = 1.0),
)
