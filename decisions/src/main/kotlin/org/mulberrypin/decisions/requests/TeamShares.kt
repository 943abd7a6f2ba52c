/**
 * Weighted fair queuing between teams. The virtual time of a team advances by the tokens that it was served, divided by
 * its weight; the waiting team with the lowest virtual time is dispatched next. A team that was idle resumes at the
 * current virtual time, so that it cannot accumulate credit while idle.
 */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Virtual times of all teams.
 *
 * @property virtualTimes virtual time by team, in tokens at weight 1
 * @property virtualTimeFloor highest virtual time at which a team was dispatched; the current virtual time
 */
public data class TeamShares(
    val virtualTimes: PersistentMap<String, Double> = persistentMapOf(),
    val virtualTimeFloor: Double = 0.0,
)

/** Chooses the team to dispatch next among the [waiting] ones; null when there are none. */
public typealias TeamChoice = (waiting: Set<String>, shares: TeamShares) -> String?

/** Returns the waiting team with the lowest virtual time; ties are broken by name. */
public fun lowestVirtualTimeTeam(
    waiting: Set<String>,
    shares: TeamShares,
): String? = waiting.minWithOrNull(compareBy({ shares.virtualTimeOf(it) }, { it }))

/** Returns the first waiting team, without fair sharing; a baseline for benchmarks. */
public fun firstWaitingTeam(
    waiting: Set<String>,
    @Suppress("UnusedParameter") shares: TeamShares,
): String? = waiting.firstOrNull()

/** Charges [tokens] tokens to [team], whose weight is [weight]. */
internal fun TeamShares.charged(
    team: String,
    tokens: Long,
    weight: Double,
): TeamShares {
    val start = virtualTimeOf(team)
    val time = start + tokens / weight.coerceAtLeast(MIN_WEIGHT)
    return TeamShares(virtualTimes.put(team, time), maxOf(virtualTimeFloor, start))
}

/** Corrects the estimate charged to [team] by [tokens], which may be negative. */
internal fun TeamShares.corrected(
    team: String,
    tokens: Long,
    weight: Double,
): TeamShares {
    val time = virtualTimes[team] ?: return this
    return copy(virtualTimes = virtualTimes.put(team, time + tokens / weight.coerceAtLeast(MIN_WEIGHT)))
}

/** Drops the virtual times of all teams that are not in [teams]. */
internal fun TeamShares.retainingTeams(teams: Set<String>): TeamShares =
    copy(
        virtualTimes =
            virtualTimes.keys.filterNot(teams::contains).fold(virtualTimes) { rest, team -> rest.remove(team) },
    )

private fun TeamShares.virtualTimeOf(team: String): Double =
    maxOf(virtualTimes[team] ?: virtualTimeFloor, virtualTimeFloor)

private const val MIN_WEIGHT = 0.001
