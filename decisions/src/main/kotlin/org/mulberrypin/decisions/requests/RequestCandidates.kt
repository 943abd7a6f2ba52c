/** Selects the backend servers to which a request may be dispatched. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/** Returns the eligible servers with a free slot; those on which the request failed only if there are no others. */
internal fun candidates(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): List<ServerCandidate> {
    val withFreeSlots =
        poolServers(state, entry.pool)
            .filter { isEligible(state, it, entry, nowMilliseconds) && hasFreeSlot(it, entry, nowMilliseconds) }
    val untried = withFreeSlots.filterNot { it.server.name in entry.failedServers }
    return untried.ifEmpty { withFreeSlots }.map { candidate(state, it, nowMilliseconds) }
}

/** True when the request may run on the server, regardless of free slots. */
internal fun isEligible(
    state: RequestState,
    server: ServerState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    !server.server.leaving &&
        server.breaker.allowsAttempt(nowMilliseconds) &&
        server.load?.swapping != true &&
        meetsWeightVersion(server, entry) &&
        !runsAnotherSuspect(state, server, entry)

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
    state: RequestState,
    server: ServerState,
    entry: RequestEntry,
): Boolean =
    state.crashes.isSuspect(entry.arrival.contentDigest) &&
        state.entries.values.any {
            it.server == server.server.name && state.crashes.isSuspect(it.arrival.contentDigest)
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
    state: RequestState,
    pool: String,
): List<ServerState> =
    state.routes.pools[pool]
        ?.backendServers
        .orEmpty()
        .mapNotNull { state.servers[it.name] }

private fun candidate(
    state: RequestState,
    server: ServerState,
    nowMilliseconds: Long,
): ServerCandidate =
    ServerCandidate(
        state = server,
        occupancy = server.estimatedRequests(nowMilliseconds) / server.slots.coerceAtLeast(1),
        sameFailureDomain = server.server.failureDomain == state.failureDomain,
    )
