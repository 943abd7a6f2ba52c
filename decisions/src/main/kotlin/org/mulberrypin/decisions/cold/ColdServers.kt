/**
 * Bounds the requests that cold backend servers get from all instances together. A cold server may be used only by the
 * instances that hold a share of its lifetime. The store gives out a few shares of each lifetime, once and for good, so
 * nothing depends on clocks that agree or on lists that are up to date; the share of an instance that dies is lost.
 */
package org.mulberrypin.decisions.cold

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ServingPool

/**
 * Backend servers that may be cold, as one instance sees them.
 *
 * @property pools pools whose servers may be cold, by name
 * @property servers servers of these pools that are or were listed, by identifier
 * @property tickMilliseconds time of the last tick; null before the first
 * @property steadyFromMilliseconds time from which shares may be used again after the process was paused
 * @property awareFromMilliseconds time from which servers that seem warm may be used again after a long pause
 */
public data class ColdServers(
    val limits: ColdLimits = ColdLimits(),
    val pools: Map<String, ServingPool> = emptyMap(),
    val servers: PersistentMap<String, ColdServer> = persistentMapOf(),
    val tickMilliseconds: Long? = null,
    val steadyFromMilliseconds: Long = LONG_AGO_MILLISECONDS,
    val awareFromMilliseconds: Long = LONG_AGO_MILLISECONDS,
)

/** Applies the pools of a configuration; those without a rate for cold servers are not bounded. */
public fun ColdServers.withPools(listed: List<ServingPool>): ColdServers {
    val bounded = listed.filter { it.coldRequestsPerSecond > 0 }.associateBy { it.name }
    val kept = servers.filterValues { it.entry.pool in bounded }
    return copy(pools = bounded, servers = persistentMapOf<String, ColdServer>().putAll(kept))
}

/**
 * Applies a list of backend servers. A lifetime that appears while this instance follows the list has just started and
 * is cold, whatever the clocks say. In the first list ([isFirst]), a lifetime is cold unless its start is long past.
 */
public fun ColdServers.withEntries(
    entries: List<BackendServerEntry>,
    isFirst: Boolean,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): ColdServers {
    if (pools.isEmpty()) return this
    val bounded = entries.filter { it.pool in pools }
    val listedIds = bounded.mapTo(HashSet()) { it.id }
    var next = servers
    if (next.size > MAX_SERVERS) next.keys.filter { it !in listedIds }.forEach { next = next.remove(it) }
    for (entry in bounded) {
        val known = next[entry.id]
        val isSame = known != null && known.entry.startedWallMilliseconds == entry.startedWallMilliseconds
        val server = if (isSame) known else begun(entry, isFirst, nowMilliseconds, wallMilliseconds)
        val isNews = !isSame || known.entry != entry
        val coldMilliseconds = if (isNews) entry.coldMilliseconds else 0
        next = next.put(
            entry.id,
            if (coldMilliseconds > 0) {
                server.copy(entry = entry).coldFor(coldMilliseconds, nowMilliseconds)
            } else {
                server.copy(entry = entry)
            },
        )
    }
    return copy(servers = next)
}

private fun ColdServers.begun(
    entry: BackendServerEntry,
    isFirst: Boolean,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): ColdServer {
    val coldMilliseconds = pools.getValue(entry.pool).coldMilliseconds
    val age = wallMilliseconds - entry.startedWallMilliseconds
    return when {
        !isFirst -> ColdServer(entry, returnedMilliseconds = nowMilliseconds).coldFor(coldMilliseconds, nowMilliseconds)
        age > coldMilliseconds + CLOCK_DIFFERENCE_MILLISECONDS -> ColdServer(entry)
        else -> ColdServer(entry).coldFor(coldMilliseconds, nowMilliseconds)
    }
}

/** Applies what a response of a server says: that its lifetime stays cold for [coldMilliseconds]. */
public fun ColdServers.withReport(
    id: String,
    startedWallMilliseconds: Long?,
    coldMilliseconds: Long,
    nowMilliseconds: Long,
): ColdServers {
    val server = servers[id] ?: return this
    val isOther = startedWallMilliseconds != null && startedWallMilliseconds != server.entry.startedWallMilliseconds
    return if (isOther) this else copy(servers = servers.put(id, server.coldFor(coldMilliseconds, nowMilliseconds)))
}

/**
 * Notes a tick. After a pause, what was decided before it may still leave, so shares rest for a window. After a long
 * one, servers may have turned cold unnoticed, so that all of them rest until the list has been followed again.
 */
public fun ColdServers.withTick(nowMilliseconds: Long): ColdServers {
    val pause = pauseAt(nowMilliseconds)
    val steadyFrom = nowMilliseconds + COLD_WINDOW_MILLISECONDS
    val awareFrom = nowMilliseconds + NEWS_MILLISECONDS
    return copy(
        tickMilliseconds = nowMilliseconds,
        steadyFromMilliseconds = if (pause > MAX_PAUSE_MILLISECONDS) steadyFrom else steadyFromMilliseconds,
        awareFromMilliseconds = if (pause > LONG_PAUSE_MILLISECONDS) awareFrom else awareFromMilliseconds,
    )
}

private fun ColdServers.pauseAt(nowMilliseconds: Long): Long = nowMilliseconds - (tickMilliseconds ?: nowMilliseconds)

/** Whether this instance may send a request to the server [id] now: it is not cold, or the share is not used up. */
public fun ColdServers.maySend(
    id: String,
    nowMilliseconds: Long,
): Boolean {
    val server = servers[id] ?: return true
    if (!server.isCold(nowMilliseconds)) return isAware(nowMilliseconds)
    val isHeld = server.share.phase == ColdSharePhase.HELD && nowMilliseconds >= server.share.nextMilliseconds
    return isHeld && isSteady(nowMilliseconds) && !server.isSpent(nowMilliseconds)
}

private fun ColdServers.isSteady(nowMilliseconds: Long): Boolean =
    tickMilliseconds != null && pauseAt(nowMilliseconds) <= MAX_PAUSE_MILLISECONDS &&
        nowMilliseconds >= steadyFromMilliseconds

private fun ColdServers.isAware(nowMilliseconds: Long): Boolean =
    pauseAt(nowMilliseconds) <= LONG_PAUSE_MILLISECONDS && nowMilliseconds >= awareFromMilliseconds

/** Records that a request goes to the server [id] now, warm or cold. */
public fun ColdServers.withSend(
    id: String,
    nowMilliseconds: Long,
): ColdServers {
    val server = servers[id] ?: return this
    val recent = server.sends.filter { nowMilliseconds - it < COLD_WINDOW_MILLISECONDS }.takeLast(MAX_SHARE_REQUESTS)
    return copy(servers = servers.put(id, server.copy(sends = (recent + nowMilliseconds).toPersistentList())))
}

/** Cold servers of [wantedPools] whose share this instance should claim now. */
public fun ColdServers.dueClaims(
    wantedPools: Set<String>,
    nowMilliseconds: Long,
): List<ColdServer> =
    servers.values.filter {
        it.entry.pool in wantedPools && it.isCold(nowMilliseconds) &&
            it.share.phase == ColdSharePhase.UNCLAIMED && nowMilliseconds >= it.share.nextMilliseconds
    }

/** Notes that a claim to a share of [server] is under way. */
public fun ColdServers.withClaim(
    server: ColdServer,
    nowMilliseconds: Long,
): ColdServers {
    val share = ColdShare(nextMilliseconds = nowMilliseconds + CLAIM_INTERVAL_MILLISECONDS)
    return copy(servers = servers.put(server.entry.id, server.copy(share = share)))
}

/** Applies the outcome of a claim to a share of the lifetime of server [id] that began at [startedWallMilliseconds]. */
public fun ColdServers.withClaimOutcome(
    id: String,
    startedWallMilliseconds: Long,
    outcome: ColdClaimOutcome,
    nowMilliseconds: Long,
): ColdServers {
    val server = servers[id]?.takeIf { it.entry.startedWallMilliseconds == startedWallMilliseconds } ?: return this
    if (server.share.phase == ColdSharePhase.HELD) return this
    val share = when (outcome) {
        is ColdClaimOutcome.Held -> {
            val rest = if (outcome.isEarlier) COLD_WINDOW_MILLISECONDS else 0
            ColdShare(ColdSharePhase.HELD, outcome.requests, nowMilliseconds + rest)
        }

        ColdClaimOutcome.Denied -> {
            ColdShare(ColdSharePhase.DENIED)
        }

        is ColdClaimOutcome.Unknown -> {
            server.share
        }
    }
    return copy(servers = servers.put(id, server.copy(share = share)))
}

/** Servers that are remembered; those that are no longer listed go first. */
private const val MAX_SERVERS = 10_000

/** Largest difference between the clocks of an instance and a server, in milliseconds, that an age is trusted with. */
private const val CLOCK_DIFFERENCE_MILLISECONDS = 10_000L

/** Longest time without a tick, in milliseconds, that is no pause of the process; ten tick intervals. */
private const val MAX_PAUSE_MILLISECONDS = 500L

/** Time without a tick, in milliseconds, after which the other instances take this one as gone. */
private const val LONG_PAUSE_MILLISECONDS = 2_000L

/** Time after a long pause in which the news of the list of backend servers arrives, in milliseconds. */
private const val NEWS_MILLISECONDS = 1_000L

/** Time after which a claim without an outcome is repeated, in milliseconds; above the store's response timeout. */
private const val CLAIM_INTERVAL_MILLISECONDS = 1_500L
