/** Records durations in histograms and summarises them as percentiles. */
package org.mulberrypin.standins.load

import org.HdrHistogram.Histogram

/**
 * Percentiles of durations, in milliseconds.
 *
 * @property count number of recorded durations
 */
public data class LatencySummary(
    val count: Long,
    val medianMilliseconds: Long,
    val p90Milliseconds: Long,
    val p99Milliseconds: Long,
    val maximumMilliseconds: Long,
)

/** Percentiles of the durations recorded in [histogram]. */
internal fun latencySummary(histogram: Histogram): LatencySummary =
    LatencySummary(
        count = histogram.totalCount,
        medianMilliseconds = histogram.getValueAtPercentile(MEDIAN),
        p90Milliseconds = histogram.getValueAtPercentile(P90),
        p99Milliseconds = histogram.getValueAtPercentile(P99),
        maximumMilliseconds = histogram.maxValue,
    )

/** Creates an empty histogram of durations in milliseconds. */
internal fun latencyHistogram(): Histogram = Histogram(MAXIMUM_MILLISECONDS, SIGNIFICANT_DIGITS)

/** Records a duration; values outside the range of the histogram are clamped to it. */
internal fun Histogram.record(milliseconds: Long) {
    recordValue(milliseconds.coerceIn(0, MAXIMUM_MILLISECONDS))
}

private const val MEDIAN = 50.0
private const val P90 = 90.0
private const val P99 = 99.0
private const val MAXIMUM_MILLISECONDS = 7_200_000L
private const val SIGNIFICANT_DIGITS = 3
