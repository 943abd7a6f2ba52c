/** Formats the burn report as a text table. The report lists the lines with the least error budget left first. */
package org.mulberrypin.command

import org.mulberrypin.schema.generated.BurnAlarm
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnReport
import java.time.Instant
import java.util.Locale

/** Formats [report] as a summary, a table and one line per alarm. */
internal fun burnText(report: BurnReport): String {
    val rows = listOf(burnHeader(report)) + report.lines.map(::burnCells)
    val widths = rows.first().indices.map { column -> rows.maxOf { it[column].length } }
    val table = rows.map { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
    val alarms = report.lines.flatMap { line -> line.alarms.map { alarm -> alarmLine(line, alarm) } }
    return (burnSummary(report) + "" + table + alarms).joinToString("\n")
}

/** Summarises when and by which instances the events of [report] were counted, and which are missing. */
internal fun burnSummary(report: BurnReport): List<String> {
    val counted = "Report of ${formatInstant(report.wallMilliseconds)}, counted since " +
        "${formatInstant(report.countedFromWallMilliseconds)} by ${report.instances.size} instances."
    val missing = "Missing: ${report.missingInstances.joinToString(", ")}."
    return if (report.missingInstances.isEmpty()) listOf(counted) else listOf(counted, missing)
}

/** Describes [alarm]: the two windows whose burn rates reach its threshold, and the threshold. */
internal fun alarmLine(
    line: BurnLine,
    alarm: BurnAlarm,
): String =
    "ALARM ${teamOf(line)} ${line.route}: over ${formatDuration(alarm.shortMilliseconds)} and " +
        "${formatDuration(alarm.longMilliseconds)} the error budget burns at least " +
        "${formatDecimal(alarm.rate)} times too fast."

/** The column headers of the table. */
internal fun burnHeader(report: BurnReport): List<String> {
    val windows = report.lines
        .firstOrNull()
        ?.windows
        .orEmpty()
        .map { "burn ${formatDuration(it.lengthMilliseconds)}" }
    return listOf("team", "route", "objective", "requests", "bad") + windows + listOf("budget left", "worst hour")
}

/** The table cells of [line], in the order of [burnHeader]. */
internal fun burnCells(line: BurnLine): List<String> =
    listOf(
        teamOf(line),
        line.route,
        formatObjective(line),
        "${line.good + line.bad}",
        "${line.bad}",
    ) + line.windows.map { formatDecimal(it.burnRate) } + listOf(formatBudgetLeft(line), formatWorstHour(line))

/** The team of [line]; "(none)" for requests without a team. */
internal fun teamOf(line: BurnLine): String = line.team.ifEmpty { "(none)" }

/** Formats the objective of [line], such as "99.9 % in 150 ms". */
private fun formatObjective(line: BurnLine): String =
    when {
        line.objectivePerMille == 0 -> "none"
        line.targetMilliseconds == 0L -> "${formatDecimal(line.objectivePerMille / PER_MILLE_IN_PERCENT)} %"
        else -> "${formatDecimal(line.objectivePerMille / PER_MILLE_IN_PERCENT)} % in ${line.targetMilliseconds} ms"
    }

/** Formats the remaining error budget of [line] in percent; empty without an objective. */
private fun formatBudgetLeft(line: BurnLine): String =
    if (line.objectivePerMille == 0) "" else "${formatDecimal(line.budgetLeftRatio * PERCENT)} %"

/** Formats the hour of [line] with the highest burn rate; empty if there is none. */
private fun formatWorstHour(line: BurnLine): String =
    line.worstHour?.let { "${formatInstant(it.startWallMilliseconds)} at ${formatDecimal(it.burnRate)}" }.orEmpty()

/** Formats a duration in the largest of days, hours and minutes that divides it evenly. */
private fun formatDuration(milliseconds: Long): String {
    val minutes = milliseconds / MILLISECONDS_IN_MINUTE
    return when {
        minutes % MINUTES_IN_DAY == 0L -> "${minutes / MINUTES_IN_DAY} d"
        minutes % MINUTES_IN_HOUR == 0L -> "${minutes / MINUTES_IN_HOUR} h"
        else -> "$minutes min"
    }
}

/** Formats [number] with one decimal place. */
internal fun formatDecimal(number: Double): String = String.format(Locale.ROOT, "%.1f", number)

private fun formatInstant(wallMilliseconds: Long): String = Instant.ofEpochMilli(wallMilliseconds).toString()

private const val PERCENT = 100
private const val PER_MILLE_IN_PERCENT = 10.0
private const val MILLISECONDS_IN_MINUTE = 60_000L
private const val MINUTES_IN_HOUR = 60L
private const val MINUTES_IN_DAY = 1_440L
