package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.RequestPolicies

/**
 * One measured run.
 *
 * @property instances entry instances, each with its own view of the engines
 * @property engines engines, each with [slots] slots, of which [reservedSlots] are kept free of rollouts
 * @property loads the teams that send requests
 * @property priorities false to treat rollouts like interactive requests
 * @property prefixes different starts of prompts; each engine caches [cachedPrefixes] of them
 * @property durationMilliseconds time for which requests arrive
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
 * Requests of one team, arriving by chance at a steady rate.
 *
 * @property tokens tokens that each request generates
 */
internal data class TeamLoad(
    val team: String,
    val perSecond: Double,
    val tokens: Int,
    val isRollout: Boolean = false,
)
