package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf

/**
 * Everything a request duty knows.
 *
 * @property failureDomain failure domain of this instance
 * @property instances number of live instances, between which limits of teams are divided
 * @property entries requests that wait or are under way; bounded by [RequestLimits.inFlight] and, for each priority,
 *   [RequestLimits.waiting]
 * @property queues requests that wait, in the order in which they came
 * @property underWay requests under way, by team
 * @property servers backend servers by name
 * @property recentCuts times at which connections to backend servers broke lately, by server
 * @property certain true while the configuration is known to be in force
 */
public data class RequestBook(
    val limits: RequestLimits,
    val failureDomain: String,
    val instances: Int = 1,
    val routes: RouteTable = RouteTable(),
    val entries: PersistentMap<Long, RequestEntry> = persistentMapOf(),
    val queues: PersistentMap<WaitingKey, PersistentSet<Long>> = persistentMapOf(),
    val underWay: PersistentMap<String, Int> = persistentMapOf(),
    val servers: PersistentMap<String, ServerState> = persistentMapOf(),
    val shares: TeamShares = TeamShares(),
    val budget: RetryBudget = RetryBudget(),
    val crashes: CrashTable = CrashTable(),
    val recentCuts: PersistentMap<String, Long> = persistentMapOf(),
    val draining: Boolean = false,
    val certain: Boolean = true,
)

/** The number of requests under way. */
internal val RequestBook.underWayCount: Int
    get() = entries.size - waitingCount

/** The number of requests that wait. */
internal val RequestBook.waitingCount: Int
    get() = queues.values.sumOf { it.size }

internal fun RequestBook.withServer(
    name: String,
    change: (ServerState) -> ServerState,
): RequestBook {
    val server = servers[name] ?: return this
    return copy(servers = servers.put(name, change(server)))
}

internal fun RequestBook.weightOf(team: String): Double {
    val weight = routes.teams[team]?.weight ?: 0.0
    return if (weight > 0.0) weight else 1.0
}
