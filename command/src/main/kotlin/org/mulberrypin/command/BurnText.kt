/** The burn report as lines for a terminal, the worst budget first. */
package org.mulberrypin.command

import org.mulberrypin.schema.generated.BurnAlarm
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnReport
import java.time.Instant
import java.util.Locale

/** Writes [report] as text. */
internal fun burnText(report: BurnReport): String {
    val rows = listOf(burnHeader(report)) + report.lines.map(::burnCells)
    val widths = rows.first().indices.map { column -> rows.maxOf { it[column].length } }
    val table = rows.map { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
    val alarms = report.lines.flatMap { line -> line.alarms.map { alarm -> alarmLine(line, alarm) } }
    return (burnSummary(report) + "" + table + alarms).joinToString("\n")
}

/** Says when and where the events of [report] were counted. */
internal fun burnSummary(report: BurnReport): List<String> {
    val counted = "Report of ${instant(report.wallMilliseconds)}, counted since " +
        "${instant(report.countedFromWallMilliseconds)} by ${report.instances.size} instances."
    val missing = "Missing: ${report.missingInstances.joinToString(", ")}."
    return if (report.missingInstances.isEmpty()) listOf(counted) else listOf(counted, missing)
}

/** Says which windows burn too fast. */
internal fun alarmLine(
    line: BurnLine,
    alarm: BurnAlarm,
): String =
    "ALARM ${teamOf(line)} ${line.route}: over ${span(alarm.shortMilliseconds)} and " +
        "${span(alarm.longMilliseconds)} the error budget burns at least ${decimal(alarm.rate)} times too fast."

/** The names of the columns of the table. */
internal fun burnHeader(report: BurnReport): List<String> {
    val windows = report.lines
        .firstOrNull()
        ?.windows
        .orEmpty()
        .map { "burn ${span(it.lengthMilliseconds)}" }
    return listOf("team", "route", "objective", "requests", "bad") + windows + listOf("budget left", "worst hour")
}

/** The cells of the table for [line]. */
internal fun burnCells(line: BurnLine): List<String> =
    listOf(
        teamOf(line),
        line.route,
        objective(line),
        "${line.good + line.bad}",
        "${line.bad}",
    ) + line.windows.map { decimal(it.burnRate) } + listOf(budgetLeft(line), worstHour(line))

/** The team of [line], or a word for requests without one. */
internal fun teamOf(line: BurnLine): String = line.team.ifEmpty { "(none)" }

/** The objective of [line] in words. */
private fun objective(line: BurnLine): String =
    when {
        line.objectivePerMille == 0 -> "none"
        line.targetMilliseconds == 0L -> "${decimal(line.objectivePerMille / PER_MILLE_IN_PERCENT)} %"
        else -> "${decimal(line.objectivePerMille / PER_MILLE_IN_PERCENT)} % in ${line.targetMilliseconds} ms"
    }

/** The part of the error budget that [line] has left. */
private fun budgetLeft(line: BurnLine): String =
    if (line.objectivePerMille == 0) "" else "${decimal(line.budgetLeftRatio * PERCENT)} %"

/** The hour of [line] with the highest burn rate. */
private fun worstHour(line: BurnLine): String =
    line.worstHour?.let { "${instant(it.startWallMilliseconds)} at ${decimal(it.burnRate)}" }.orEmpty()

/** A length of time in the largest whole unit. */
private fun span(milliseconds: Long): String {
    val minutes = milliseconds / MILLISECONDS_IN_MINUTE
    return when {
        minutes % MINUTES_IN_DAY == 0L -> "${minutes / MINUTES_IN_DAY} d"
        minutes % MINUTES_IN_HOUR == 0L -> "${minutes / MINUTES_IN_HOUR} h"
        else -> "$minutes min"
    }
}

/** A number with at most one decimal. */
internal fun decimal(number: Double): String = String.format(Locale.ROOT, "%.1f", number)

private fun instant(wallMilliseconds: Long): String = Instant.ofEpochMilli(wallMilliseconds).toString()

private const val PERCENT = 100
private const val PER_MILLE_IN_PERCENT = 10.0
private const val MILLISECONDS_IN_MINUTE = 60_000L
private const val MINUTES_IN_HOUR = 60L
private const val MINUTES_IN_DAY = 1_440L
