package org.mulberrypin.decisions.cold

import org.mulberrypin.schema.generated.ServingPool

/**
 * How far the requests to a cold backend server may exceed what its pool states, as the deployment's settings say.
 *
 * @property overage factor on the requests per second that a cold server tolerates
 * @property slackRequests requests per second beyond that
 */
public data class ColdLimits(
    val overage: Double = 1.0,
    val slackRequests: Double = 0.0,
)

/** Requests that all instances together may send to one cold server of [pool] in any second. */
public fun ColdLimits.budgetOf(pool: ServingPool): Int =
    (pool.coldRequestsPerSecond * overage + slackRequests).toInt().coerceAtLeast(0)
