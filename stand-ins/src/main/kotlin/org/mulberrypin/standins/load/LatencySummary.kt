/** Durations, counted in histograms and summarised as percentiles. */
package org.mulberrypin.standins.load

import org.HdrHistogram.Histogram

/**
 * Percentiles of durations, in milliseconds.
 *
 * @property count number of durations
 */
public data class LatencySummary(
    val count: Long,
    val medianMilliseconds: Long,
    val p90Milliseconds: Long,
    val p99Milliseconds: Long,
    val longestMilliseconds: Long,
)

/** Summarises what [histogram] has counted. */
internal fun latencySummary(histogram: Histogram): LatencySummary =
    LatencySummary(
        count = histogram.totalCount,
        medianMilliseconds = histogram.getValueAtPercentile(MEDIAN),
        p90Milliseconds = histogram.getValueAtPercentile(P90),
        p99Milliseconds = histogram.getValueAtPercentile(P99),
        longestMilliseconds = histogram.maxValue,
    )

/** Creates an empty histogram of milliseconds. */
internal fun latencyHistogram(): Histogram = Histogram(LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS)

/** Counts a duration; one beyond the range counts as the longest that the range holds. */
internal fun Histogram.record(milliseconds: Long) {
    recordValue(milliseconds.coerceIn(0, LONGEST_MILLISECONDS))
}

private const val MEDIAN = 50.0
private const val P90 = 90.0
private const val P99 = 99.0
private const val LONGEST_MILLISECONDS = 7_200_000L
private const val SIGNIFICANT_DIGITS = 3
