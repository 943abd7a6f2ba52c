package org.mulberrypin.decisions.objectives

/**
 * Limits of the counts and reports of an instance.
 *
 * @property series maximum number of pairs of team and route with separate counts; further pairs are counted together
 * @property minutes retention of the counts by minute, in minutes, including the current one
 * @property hours retention of the counts by hour, in hours, including the current one; this is the budget period
 * @property pendingReportLimit maximum number of reports that wait for peers; further ones are refused
 * @property queryTimeoutMilliseconds time after which a report is created without the peers that have not answered
 */
public data class ObjectiveLimits(
    val series: Int = 256,
    val minutes: Int = 360,
    val hours: Int = 72,
    val pendingReportLimit: Int = 16,
    val queryTimeoutMilliseconds: Long = 2_000,
)
