/**
 * Burn rates of error budgets. An objective of 990 thousandths leaves an error budget of 10 thousandths; a burn rate
 * of 1 spends it just over the budget period, a higher one spends it sooner. A span ends with the current minute, or
 * for spans beyond the counts by minute with the current hour, and includes it.
 */
package org.mulberrypin.decisions.objectives

import org.mulberrypin.schema.generated.BurnAlarm
import org.mulberrypin.schema.generated.BurnHour
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnWindow
import org.mulberrypin.schema.generated.Team

/** Works out the line of the report for [series], whose events count against the objective of [team]. */
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
        alarms = alarms(windows),
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
        isCountedByMinute -> sumOfLatest(series.minutes, lengthMilliseconds, MINUTE_MILLISECONDS, wallMilliseconds)
        else -> sumOfLatest(series.hours, lengthMilliseconds, HOUR_MILLISECONDS, wallMilliseconds)
    }
    return BurnWindow(lengthMilliseconds, tally.good, tally.bad, burnRate(tally, budget))
}

private fun sumOfLatest(
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

private fun alarms(windows: List<BurnWindow>): List<BurnAlarm> {
    val rates = windows.associate { it.lengthMilliseconds to it.burnRate }
    return alarmPairs.filter { alarm ->
        rates.getValue(alarm.shortMilliseconds) >= alarm.rate && rates.getValue(alarm.longMilliseconds) >= alarm.rate
    }
}

/** Part of the events that may be bad; 0 stands for no objective. An objective of all events counts as 999 of 1000. */
private fun errorBudget(objectivePerMille: Int): Double =
    if (objectivePerMille <= 0) 0.0 else 1 - objectivePerMille.coerceAtMost(LARGEST_OBJECTIVE) / PER_MILLE

private fun burnRate(
    tally: EventTally,
    budget: Double,
): Double = if (tally.total == 0L || budget == 0.0) 0.0 else tally.bad.toDouble() / tally.total / budget

private const val LARGEST_OBJECTIVE = 999
private const val PER_MILLE = 1_000.0

private const val FIVE_MINUTES = 5 * MINUTE_MILLISECONDS
private const val HALF_HOUR = 30 * MINUTE_MILLISECONDS
private const val ONE_HOUR = HOUR_MILLISECONDS
private const val SIX_HOURS = 6 * HOUR_MILLISECONDS
private const val THREE_DAYS = 72 * HOUR_MILLISECONDS
private val windowLengths = listOf(FIVE_MINUTES, HALF_HOUR, ONE_HOUR, SIX_HOURS, THREE_DAYS)

/** At these rates 2%, 5% and 10% of a budget of 30 days are spent within the longer window. */
private val alarmPairs = listOf(
    BurnAlarm(shortMilliseconds = FIVE_MINUTES, longMilliseconds = ONE_HOUR, rate = 14.4),
    BurnAlarm(shortMilliseconds = HALF_HOUR, longMilliseconds = SIX_HOURS, rate = 6.0),
    BurnAlarm(shortMilliseconds = SIX_HOURS, longMilliseconds = THREE_DAYS, rate = 1.0),
)
