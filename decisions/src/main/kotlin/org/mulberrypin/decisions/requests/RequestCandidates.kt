/** Selects the backend servers to which a request may be dispatched. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/** Returns the eligible servers with a free slot; those on which the request failed only if there are no others. */
internal fun candidates(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): List<ServerCandidate> {
    val withFreeSlots =
        poolServers(book, entry.pool)
            .filter { isEligible(book, it, entry, nowMilliseconds) && hasFreeSlot(it, entry, nowMilliseconds) }
    val untried = withFreeSlots.filterNot { it.server.name in entry.failedServers }
    return untried.ifEmpty { withFreeSlots }.map { candidate(book, it, nowMilliseconds) }
}

/** True when the request may run on the server, regardless of free slots. */
internal fun isEligible(
    book: RequestBook,
    server: ServerState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    !server.server.leaving &&
        server.breaker.allowsAttempt(nowMilliseconds) &&
        server.load?.swapping != true &&
        meetsWeightVersion(server, entry) &&
        !runsAnotherSuspect(book, server, entry)

private fun meetsWeightVersion(
    server: ServerState,
    entry: RequestEntry,
): Boolean {
    val minimumVersion = entry.arrival.minimumWeightVersion
    val version = server.load?.weightVersion ?: return true
    return minimumVersion == 0L || version >= minimumVersion
}

/** True when the request is a crash suspect and the server already runs another suspect. */
private fun runsAnotherSuspect(
    book: RequestBook,
    server: ServerState,
    entry: RequestEntry,
): Boolean =
    book.crashes.isSuspect(entry.arrival.contentDigest) &&
        book.entries.values.any {
            it.server == server.server.name && book.crashes.isSuspect(it.arrival.contentDigest)
        }

private fun hasFreeSlot(
    server: ServerState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean {
    val reserved = if (entry.arrival.priority == RoutePriority.INTERACTIVE) 0 else server.reservedSlots
    return server.estimatedRequests(nowMilliseconds) < server.slots - reserved
}

private fun poolServers(
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
        occupancy = server.estimatedRequests(nowMilliseconds) / server.slots.coerceAtLeast(1),
        sameFailureDomain = server.server.failureDomain == book.failureDomain,
    )
