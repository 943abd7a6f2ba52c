/** Puts a configuration in force: routes, backend servers, and the end of requests whose key was withdrawn. */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Pool

internal fun adopt(
    book: RequestBook,
    configuration: Configuration,
): Transition<RequestBook, RequestEffect> {
    if (configuration.version < book.routes.version) return Transition(book)
    val routes = routeTable(configuration)
    val adopted =
        book.copy(
            routes = routes,
            servers = serversOf(book, configuration.pools).toPersistentMap(),
            shares = book.shares.keeping(routes.teams.keys),
        )
    return adopted.entries.values
        .filterNot { isStillAdmitted(routes, it) }
        .fold(Transition(adopted)) { result, entry -> result.andThen { withdraw(it, entry) } }
}

private fun isStillAdmitted(
    routes: RouteTable,
    entry: RequestEntry,
): Boolean {
    val route = routes.route(entry.arrival.route)
    return route != null && routes.admits(route, entry.arrival)
}

private fun withdraw(
    book: RequestBook,
    entry: RequestEntry,
): Transition<RequestBook, RequestEffect> {
    val arrival = entry.arrival
    val reason = "The key was withdrawn or the route closed."
    val effects =
        when {
            !entry.waits -> {
                giveUp(arrival, reason, step = "admission", peer = entry.server) +
                    RequestEffect.CancelAttempt(arrival.request, entry.attempt)
            }

            entry.ranBefore -> {
                giveUp(arrival, reason, step = "admission", peer = "")
            }

            else -> {
                refuse(arrival, Refusal.KEY_WITHDRAWN, step = "admission")
            }
        }
    return Transition(book.forgotten(entry), effects)
}

private fun serversOf(
    book: RequestBook,
    pools: List<Pool>,
): Map<String, ServerState> {
    val current = pools.flatMap { pool -> pool.backendServers.map { serverState(book, pool, it) } }
    val departing =
        book.servers.values
            .filter { it.running > 0 }
            .map { it.copy(server = it.server.copy(leaving = true)) }
    return (departing + current).associateBy { it.server.name }
}

private fun serverState(
    book: RequestBook,
    pool: Pool,
    server: BackendServer,
): ServerState {
    val known = book.servers[server.name]?.takeIf { it.server.address == server.address }
    return (known ?: ServerState(server, pool.name, pool.slots, pool.reservedSlots))
        .copy(server = server, pool = pool.name, slots = pool.slots, reservedSlots = pool.reservedSlots)
}
