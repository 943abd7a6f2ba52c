/**
 * Shares backend servers between teams by their weights. Each team has a virtual time that grows with the tokens it
 * was served, divided by its weight; the waiting team with the smallest virtual time goes next. A team that was idle
 * starts at the virtual time of the service, so that it cannot save up a claim.
 */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Virtual times of teams.
 *
 * @property times virtual time by team, in tokens for a weight of 1
 * @property floor virtual time of the latest team that was served
 */
public data class TeamShares(
    val times: PersistentMap<String, Double> = persistentMapOf(),
    val floor: Double = 0.0,
)

/** Chooses which of the waiting teams goes next. */
public typealias TeamChoice = (waiting: Set<String>, shares: TeamShares) -> String?

/** The waiting team that was served the least for its weight. */
public fun leastServedTeam(
    waiting: Set<String>,
    shares: TeamShares,
): String? = waiting.minWithOrNull(compareBy({ shares.timeOf(it) }, { it }))

/** Takes the waiting teams as they come; the baseline. */
public fun firstWaitingTeam(
    waiting: Set<String>,
    @Suppress("UnusedParameter") shares: TeamShares,
): String? = waiting.firstOrNull()

/** The shares after [team] was given [tokens] tokens under [weight]. */
internal fun TeamShares.served(
    team: String,
    tokens: Long,
    weight: Double,
): TeamShares {
    val start = timeOf(team)
    val time = start + tokens / weight.coerceAtLeast(SMALLEST_WEIGHT)
    return TeamShares(times.put(team, time), maxOf(floor, start))
}

/** The shares after an estimate of [team]'s tokens turned out to be wrong by [tokens]. */
internal fun TeamShares.corrected(
    team: String,
    tokens: Long,
    weight: Double,
): TeamShares {
    val time = times[team] ?: return this
    return copy(times = times.put(team, time + tokens / weight.coerceAtLeast(SMALLEST_WEIGHT)))
}

/** The shares of the teams in [kept] only. */
internal fun TeamShares.keeping(kept: Set<String>): TeamShares =
    copy(times = times.keys.filterNot(kept::contains).fold(times) { left, team -> left.remove(team) })

private fun TeamShares.timeOf(team: String): Double = maxOf(times[team] ?: floor, floor)

private const val SMALLEST_WEIGHT = 0.001
