package org.mulberrypin.benchmarks.work

/**
 * Load of a comparison.
 *
 * @property servers servers of the pool, of unequal speed in turns
 * @property sharedReportMilliseconds interval at which each server's load reaches every instance; 0 if reports come
 *   only with the answers to an instance's own requests
 * @property hasReports whether servers report their load
 * @property utilization share of the servers' work that the requests ask for
 */
internal data class WorkScenario(
    val instances: Int,
    val servers: Int = 24,
    val slots: Int = 6,
    val sharedReportMilliseconds: Long = 0,
    val hasReports: Boolean = true,
    val utilization: Double = 0.6,
    val durationMilliseconds: Long = 20_000,
)
