/** Applies a configuration: replaces routes and backend servers, and fails requests that are no longer authorized. */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Pool

internal fun applyConfiguration(
    state: RequestState,
    configuration: Configuration,
): Transition<RequestState, RequestEffect> {
    if (configuration.version < state.routes.version) return Transition(state)
    val routes = routeTable(configuration)
    val updatedState =
        state.copy(
            routes = routes,
            servers = updatedServers(state, configuration.pools).toPersistentMap(),
            shares = state.shares.retainingTeams(routes.teams.keys),
        )
    return updatedState.entries.values
        .filterNot { isStillAuthorized(routes, it) }
        .fold(Transition(updatedState)) { result, entry -> result.andThen { failUnauthorized(it, entry) } }
}

private fun isStillAuthorized(
    routes: RouteTable,
    entry: RequestEntry,
): Boolean {
    val route = routes.route(entry.arrival.route)
    return route != null && routes.authorizes(route, entry.arrival)
}

private fun failUnauthorized(
    state: RequestState,
    entry: RequestEntry,
): Transition<RequestState, RequestEffect> {
    val arrival = entry.arrival
    val reason = "The key was withdrawn, or its team may no longer use the route."
    val effects =
        when {
            !entry.isWaiting -> {
                replyMayHaveRun(arrival, reason, step = "admission", peer = entry.server) +
                    RequestEffect.CancelAttempt(arrival.request, entry.attempt)
            }

            entry.earlierAttemptMayHaveRun -> {
                replyMayHaveRun(arrival, reason, step = "admission", peer = "")
            }

            else -> {
                replyNotRun(arrival, Refusal.KEY_WITHDRAWN, step = "admission")
            }
        }
    return Transition(state.removed(entry), effects)
}

private fun updatedServers(
    state: RequestState,
    pools: List<Pool>,
): Map<String, ServerState> {
    val current = pools.flatMap { pool -> pool.backendServers.map { refreshedServer(state, pool, it) } }
    val stillRunning =
        state.servers.values
            .filter { it.running > 0 }
            .map { it.copy(server = it.server.copy(leaving = true)) }
    return (stillRunning + current).associateBy { it.server.name }
}

private fun refreshedServer(
    state: RequestState,
    pool: Pool,
    server: BackendServer,
): ServerState {
    val existing = state.servers[server.name]?.takeIf { it.server.address == server.address }
    return (existing ?: ServerState(server, pool.name, pool.slots, pool.reservedSlots))
        .copy(server = server, pool = pool.name, slots = pool.slots, reservedSlots = pool.reservedSlots)
}
