/** Renders the burn report as a self-contained HTML page; the plot is embedded as a PNG data URL. */
package org.mulberrypin.command

import org.mulberrypin.schema.generated.BurnReport
import java.util.Base64

/** Renders [report] as HTML. */
internal fun burnPage(report: BurnReport): String =
    """
    |<!DOCTYPE html>
    |<html lang="en">
    |<head><meta charset="utf-8"><title>Error budget burn</title><style>$STYLE</style></head>
    |<body>
    |<h1>Error budget burn</h1>
    |${burnSummary(report).joinToString("\n") { "<p>${escapeHtml(it)}</p>" }}
    |${plotElement(report)}
    |${alarmList(report)}
    |${tableElement(report)}
    |</body>
    |</html>
    """.trimMargin()

private fun plotElement(report: BurnReport): String {
    val image = burnPlot(report) ?: return "<p>No request on a route with a latency objective was counted.</p>"
    val data = Base64.getEncoder().encodeToString(image)
    return "<img alt=\"Burn rate by hour\" src=\"data:image/png;base64,$data\">"
}

private fun alarmList(report: BurnReport): String {
    val alarms = report.lines.flatMap { line -> line.alarms.map { alarm -> alarmLine(line, alarm) } }
    if (alarms.isEmpty()) return "<p>No alarms.</p>"
    return alarms.joinToString("\n", "<ul>\n", "\n</ul>") { "<li class=\"alarm\">${escapeHtml(it)}</li>" }
}

private fun tableElement(report: BurnReport): String {
    val header = burnHeader(report).joinToString("", "<tr>", "</tr>") { "<th>${escapeHtml(it)}</th>" }
    val rows = report.lines.joinToString("\n") { line ->
        burnCells(line).joinToString("", "<tr>", "</tr>") { "<td>${escapeHtml(it)}</td>" }
    }
    return "<table>\n$header\n$rows\n</table>"
}

private fun escapeHtml(text: String): String =
    text
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")

private const val STYLE = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}" +
    "th,td{border:1px solid #ccc;padding:.3em .6em;text-align:left}.alarm{color:#a00}"
