/**
 * Tells a content that crashes backend servers from an outage. When connections to several backend servers of one
 * failure domain break within moments, the failure domain is taken to be at fault and no content is blamed.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition

internal fun noteCut(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val server = book.servers[entry.server] ?: return Transition(book)
    val cuts = recentCuts(book, nowMilliseconds).put(entry.server, nowMilliseconds)
    val noted = book.copy(recentCuts = book.recentCuts.clear().putAll(cuts))
    val inDomain = cuts.keys.filter { isInDomain(book, it, server.server.failureDomain) }
    if (inDomain.size >= CUTS_OF_AN_OUTAGE) {
        return Transition(noted.copy(crashes = noted.crashes.without(inDomain.toSet())))
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
        noted.copy(crashes = noted.crashes.withCrash(digest, entry.server, nowMilliseconds)),
        listOf(report),
    )
}

private fun recentCuts(
    book: RequestBook,
    nowMilliseconds: Long,
) = book.recentCuts
    .filterValues { nowMilliseconds - it < OUTAGE_MILLISECONDS }
    .entries
    .fold(book.recentCuts.clear()) { kept, (server, time) -> kept.put(server, time) }

private fun isInDomain(
    book: RequestBook,
    server: String,
    failureDomain: String,
): Boolean =
    book.servers[server]
        ?.server
        ?.failureDomain == failureDomain

/** The table without crashes of the given servers. */
internal fun CrashTable.without(servers: Set<String>): CrashTable {
    val remaining =
        suspects.entries.fold(suspects) { left, (digest, record) ->
            val kept = record.servers - servers
            if (kept.isEmpty()) left.remove(digest) else left.put(digest, record.copy(servers = kept))
        }
    return CrashTable(remaining)
}

/** Backend servers of one failure domain whose connections break together when the failure domain is at fault. */
private const val CUTS_OF_AN_OUTAGE = 3

/** Time within which cuts count as together, in milliseconds. */
private const val OUTAGE_MILLISECONDS = 3_000L
