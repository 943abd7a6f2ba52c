package org.mulberrypin.benchmarks.requests

import org.HdrHistogram.Histogram

/**
 * What a run measured.
 *
 * @property latencies time from arrival to the end of the answer, by team
 * @property started attempts that engines started, [cached] of them with a cached prefix
 * @property moved attempts that were cancelled to make room
 * @property refused requests that were refused as not run
 */
internal data class RequestFigures(
    val latencies: Map<String, Histogram>,
    var started: Long = 0,
    var cached: Long = 0,
    var moved: Long = 0,
    var refused: Long = 0,
)
