package org.mulberrypin.benchmarks.requests

import org.HdrHistogram.Histogram

/**
 * Results of one run.
 *
 * @property latencies milliseconds from arrival to the end of the response, by team
 * @property started attempts that engines started; [cached] of them had a cached prompt prefix
 * @property preempted attempts that were preempted: cancelled to free a slot
 * @property refused requests that were refused as not run
 */
internal data class RequestFigures(
    val latencies: Map<String, Histogram>,
    var started: Long = 0,
    var cached: Long = 0,
    var preempted: Long = 0,
    var refused: Long = 0,
)
