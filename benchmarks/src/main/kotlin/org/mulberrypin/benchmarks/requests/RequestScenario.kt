package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.RequestPolicies

/**
 * Parameters of one run.
 *
 * @property instances number of entry instances, each with its own view of the engines' load
 * @property engines number of engines, each with [slots] slots, of which [reservedSlots] are not available to rollouts
 * @property loads the teams that send requests
 * @property priorities false to give rollouts the same priority as interactive requests
 * @property prefixes number of distinct prompt prefixes; each engine caches [cachedPrefixes] of them
 * @property durationMilliseconds simulated time during which requests arrive
 */
internal data class RequestScenario(
    val policies: RequestPolicies,
    val loads: List<TeamLoad>,
    val instances: Int = 12,
    val engines: Int = 12,
    val slots: Int = 8,
    val reservedSlots: Int = 0,
    val priorities: Boolean = true,
    val prefixes: Int = 64,
    val cachedPrefixes: Int = 8,
    val durationMilliseconds: Long = 120_000,
)

/**
 * Requests of one team, with exponentially distributed times between arrivals.
 *
 * @property perSecond mean number of requests per second
 * @property tokens tokens that each request generates
 */
internal data class TeamLoad(
    val team: String,
    val perSecond: Double,
    val tokens: Int,
    val isRollout: Boolean = false,
)
