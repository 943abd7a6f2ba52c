/** Plots the hourly burn rates of the burn report, one series per team and route. */
package org.mulberrypin.command

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnReport
import java.util.Date

/**
 * Renders the [MAX_SERIES] lines of [report] with the least remaining error budget as a PNG image; null if no line has
 * an objective and data.
 */
internal fun burnPlot(report: BurnReport): ByteArray? {
    val lines = report.lines.filter { it.objectivePerMille > 0 && it.hours.isNotEmpty() }.take(MAX_SERIES)
    if (lines.isEmpty()) return null
    System.setProperty("java.awt.headless", "true")
    val chart = XYChartBuilder()
        .width(WIDTH_PIXELS)
        .height(HEIGHT_PIXELS)
        .title("Burn rate by hour (1 = budget used up exactly at the end of its period)")
        .xAxisTitle("hour")
        .yAxisTitle("burn rate")
        .build()
    chart.styler.setDatePattern("MM-dd HH:mm")
    lines.forEach { line -> addLine(chart, line) }
    return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG)
}

private fun addLine(
    chart: XYChart,
    line: BurnLine,
) {
    val hours = line.hours.map { Date(it.startWallMilliseconds) }
    val rates = line.hours.map { it.burnRate }
    chart.addSeries("${teamOf(line)} ${line.route}", hours, rates)
}

private const val MAX_SERIES = 12
private const val WIDTH_PIXELS = 960
private const val HEIGHT_PIXELS = 480
