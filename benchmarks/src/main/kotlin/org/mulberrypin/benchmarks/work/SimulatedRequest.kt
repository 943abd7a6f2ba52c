package org.mulberrypin.benchmarks.work

import org.mulberrypin.decisions.work.ExpectedCompletion

/** A request whose true work is unknown to the instance that sends it. */
internal data class SimulatedRequest(
    val number: Long,
    val route: String,
    val workMilliseconds: Double,
    val instance: Int,
    val arrivedMilliseconds: Double,
    val server: Int = 0,
    val expected: ExpectedCompletion? = null,
)
