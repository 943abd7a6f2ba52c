/** Which backend servers a request may use. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/** The backend servers that have room for a request; those that already failed it only when no other is left. */
internal fun candidates(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): List<ServerCandidate> {
    val withRoom =
        serversOf(book, entry.pool)
            .filter { usable(book, it, entry, nowMilliseconds) && hasRoom(it, entry, nowMilliseconds) }
    val untried = withRoom.filterNot { it.server.name in entry.avoided }
    return untried.ifEmpty { withRoom }.map { candidate(book, it, nowMilliseconds) }
}

/** True when the backend server may take the request once it has room. */
internal fun usable(
    book: RequestBook,
    server: ServerState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    !server.server.leaving &&
        server.breaker.admits(nowMilliseconds) &&
        server.load?.swapping != true &&
        isFreshEnough(server, entry) &&
        !sharesWithSuspect(book, server, entry)

private fun isFreshEnough(
    server: ServerState,
    entry: RequestEntry,
): Boolean {
    val wanted = entry.arrival.minimumWeightVersion
    val version = server.load?.weightVersion ?: return true
    return wanted == 0L || version >= wanted
}

/** True when the request's content and another one on the server both ran during a crash. */
private fun sharesWithSuspect(
    book: RequestBook,
    server: ServerState,
    entry: RequestEntry,
): Boolean =
    book.crashes.suspects(entry.arrival.contentDigest) &&
        book.entries.values.any {
            it.server == server.server.name && book.crashes.suspects(it.arrival.contentDigest)
        }

private fun hasRoom(
    server: ServerState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean {
    val reserved = if (entry.arrival.priority == RoutePriority.INTERACTIVE) 0 else server.reservedSlots
    return server.estimatedRunning(nowMilliseconds) < server.slots - reserved
}

private fun serversOf(
    book: RequestBook,
    pool: String,
): List<ServerState> =
    book.routes.pools[pool]
        ?.backendServers
        .orEmpty()
        .mapNotNull { book.servers[it.name] }

private fun candidate(
    book: RequestBook,
    server: ServerState,
    nowMilliseconds: Long,
): ServerCandidate =
    ServerCandidate(
        state = server,
        occupancy = server.estimatedRunning(nowMilliseconds) / server.slots.coerceAtLeast(1),
        sameFailureDomain = server.server.failureDomain == book.failureDomain,
    )
