/** The burn report as a page for a browser, whole in one file: the plot stands in the page as a PNG image. */
package org.mulberrypin.command

import org.mulberrypin.schema.generated.BurnReport
import java.util.Base64

/** Writes [report] as a page. */
internal fun burnPage(report: BurnReport): String =
    """
    |<!DOCTYPE html>
    |<html lang="en">
    |<head><meta charset="utf-8"><title>Burn of error budgets</title><style>$STYLE</style></head>
    |<body>
    |<h1>Burn of error budgets</h1>
    |${burnSummary(report).joinToString("\n") { "<p>${escaped(it)}</p>" }}
    |${plotElement(report)}
    |${alarmList(report)}
    |${table(report)}
    |</body>
    |</html>
    """.trimMargin()

private fun plotElement(report: BurnReport): String {
    val image = burnPlot(report) ?: return "<p>No requests were counted against an objective.</p>"
    val data = Base64.getEncoder().encodeToString(image)
    return "<img alt=\"Burn rate by hour\" src=\"data:image/png;base64,$data\">"
}

private fun alarmList(report: BurnReport): String {
    val alarms = report.lines.flatMap { line -> line.alarms.map { alarm -> alarmLine(line, alarm) } }
    if (alarms.isEmpty()) return "<p>No alarm.</p>"
    return alarms.joinToString("\n", "<ul>\n", "\n</ul>") { "<li class=\"alarm\">${escaped(it)}</li>" }
}

private fun table(report: BurnReport): String {
    val head = burnHeader(report).joinToString("", "<tr>", "</tr>") { "<th>${escaped(it)}</th>" }
    val rows = report.lines.joinToString("\n") { line ->
        burnCells(line).joinToString("", "<tr>", "</tr>") { "<td>${escaped(it)}</td>" }
    }
    return "<table>\n$head\n$rows\n</table>"
}

private fun escaped(text: String): String =
    text
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")

private const val STYLE = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}" +
    "th,td{border:1px solid #ccc;padding:.3em .6em;text-align:left}.alarm{color:#a00}"
