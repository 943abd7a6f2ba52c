/**
 * Distinguishes crashes caused by request content from outages. When connections to several backend servers of one
 * failure domain are lost within a short window, the failure domain is considered the cause and no content becomes a
 * suspect.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition

/** Records a lost connection; unless the failure domain is considered down, the request content becomes a suspect. */
internal fun recordDisconnect(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val server = state.servers[entry.server] ?: return Transition(state)
    val disconnects = recentDisconnects(state, nowMilliseconds).put(entry.server, nowMilliseconds)
    val updated = state.copy(recentDisconnects = state.recentDisconnects.clear().putAll(disconnects))
    val sameDomain = disconnects.keys.filter { isInDomain(state, it, server.server.failureDomain) }
    if (sameDomain.size >= OUTAGE_SERVER_THRESHOLD) {
        return Transition(updated.copy(crashes = updated.crashes.withoutServers(sameDomain.toSet())))
    }
    val digest = entry.arrival.contentDigest
    val report =
        RequestEffect.ReportCrash(
            digest,
            entry.arrival.team,
            entry.server,
            server.server.failureDomain,
            server.running,
        )
    return Transition(
        updated.copy(crashes = updated.crashes.withCrash(digest, entry.server, nowMilliseconds)),
        listOf(report),
    )
}

private fun recentDisconnects(
    state: RequestState,
    nowMilliseconds: Long,
) = state.recentDisconnects
    .filterValues { nowMilliseconds - it < OUTAGE_WINDOW_MILLISECONDS }
    .entries
    .fold(state.recentDisconnects.clear()) { recent, (server, time) -> recent.put(server, time) }

private fun isInDomain(
    state: RequestState,
    server: String,
    failureDomain: String,
): Boolean =
    state.servers[server]
        ?.server
        ?.failureDomain == failureDomain

/** Removes crashes of the given servers, and content that has no others. */
internal fun CrashTable.withoutServers(servers: Set<String>): CrashTable {
    val remaining =
        suspects.entries.fold(suspects) { result, (digest, record) ->
            val others = record.servers - servers
            if (others.isEmpty()) result.remove(digest) else result.put(digest, record.copy(servers = others))
        }
    return CrashTable(remaining)
}

/** Number of backend servers with lost connections at which their failure domain is considered down. */
private const val OUTAGE_SERVER_THRESHOLD = 3

/** Window in which lost connections count as one outage. */
private const val OUTAGE_WINDOW_MILLISECONDS = 3_000L
