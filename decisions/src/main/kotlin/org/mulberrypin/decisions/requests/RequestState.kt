package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf

/**
 * State of the request decisions.
 *
 * @property failureDomain failure domain of this instance
 * @property instances number of live instances, between which the in-flight limits of teams are divided
 * @property entries queued and in-flight requests by identifier; at most [RequestLimits.inFlightLimit] in flight and
 *   [RequestLimits.queueLimit] queued for each priority
 * @property queues queued requests, in FIFO order
 * @property inFlightByTeam number of requests in flight, by team
 * @property servers backend servers by name
 * @property recentDisconnects time of the latest lost connection, by backend server
 * @property isConfigurationConfirmed true while the configuration is confirmed as the current one
 */
public data class RequestState(
    val limits: RequestLimits,
    val failureDomain: String,
    val instances: Int = 1,
    val routes: RouteTable = RouteTable(),
    val entries: PersistentMap<Long, RequestEntry> = persistentMapOf(),
    val queues: PersistentMap<QueueKey, PersistentSet<Long>> = persistentMapOf(),
    val inFlightByTeam: PersistentMap<String, Int> = persistentMapOf(),
    val servers: PersistentMap<String, ServerState> = persistentMapOf(),
    val shares: TeamShares = TeamShares(),
    val budget: RetryBudget = RetryBudget(),
    val crashes: CrashTable = CrashTable(),
    val recentDisconnects: PersistentMap<String, Long> = persistentMapOf(),
    val draining: Boolean = false,
    val isConfigurationConfirmed: Boolean = true,
)

/** Number of requests in flight. */
internal val RequestState.inFlightCount: Int
    get() = entries.size - waitingCount

/** Number of queued requests. */
internal val RequestState.waitingCount: Int
    get() = queues.values.sumOf { it.size }

internal fun RequestState.withServer(
    name: String,
    change: (ServerState) -> ServerState,
): RequestState {
    val server = servers[name] ?: return this
    return copy(servers = servers.put(name, change(server)))
}

internal fun RequestState.weightOf(team: String): Double {
    val weight = routes.teams[team]?.weight ?: 0.0
    return if (weight > 0.0) weight else 1.0
}
