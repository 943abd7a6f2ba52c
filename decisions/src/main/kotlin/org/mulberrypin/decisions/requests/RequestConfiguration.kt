/** Applies a configuration: replaces routes and backend servers, and fails requests that are no longer authorized. */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Pool

internal fun applyConfiguration(
    book: RequestBook,
    configuration: Configuration,
): Transition<RequestBook, RequestEffect> {
    if (configuration.version < book.routes.version) return Transition(book)
    val routes = routeTable(configuration)
    val updatedBook =
        book.copy(
            routes = routes,
            servers = updatedServers(book, configuration.pools).toPersistentMap(),
            shares = book.shares.retainingTeams(routes.teams.keys),
        )
    return updatedBook.entries.values
        .filterNot { isStillAuthorized(routes, it) }
        .fold(Transition(updatedBook)) { result, entry -> result.andThen { failUnauthorized(it, entry) } }
}

private fun isStillAuthorized(
    routes: RouteTable,
    entry: RequestEntry,
): Boolean {
    val route = routes.route(entry.arrival.route)
    return route != null && routes.authorizes(route, entry.arrival)
}

private fun failUnauthorized(
    book: RequestBook,
    entry: RequestEntry,
): Transition<RequestBook, RequestEffect> {
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
    return Transition(book.removed(entry), effects)
}

private fun updatedServers(
    book: RequestBook,
    pools: List<Pool>,
): Map<String, ServerState> {
    val current = pools.flatMap { pool -> pool.backendServers.map { refreshedServer(book, pool, it) } }
    val stillRunning =
        book.servers.values
            .filter { it.running > 0 }
            .map { it.copy(server = it.server.copy(leaving = true)) }
    return (stillRunning + current).associateBy { it.server.name }
}

private fun refreshedServer(
    book: RequestBook,
    pool: Pool,
    server: BackendServer,
): ServerState {
    val existing = book.servers[server.name]?.takeIf { it.server.address == server.address }
    return (existing ?: ServerState(server, pool.name, pool.slots, pool.reservedSlots))
        .copy(server = server, pool = pool.name, slots = pool.slots, reservedSlots = pool.reservedSlots)
}
