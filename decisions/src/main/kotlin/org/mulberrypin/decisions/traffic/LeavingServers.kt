/**
 * Keeps which backend servers have said in a response that they are leaving. This is evidence beside the list of
 * backend servers, which may be older: it holds for the lifetime that said so, and for earlier ones, whatever the list
 * says. Only a later start of the server ends it.
 */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BackendServerEntry

/** Backend servers that said that they are leaving; [starts] has the start time of their newest leaving lifetimes. */
public data class LeavingServers(
    val starts: PersistentMap<String, Long> = persistentMapOf(),
)

/** Adds the lifetime of [server] that began at [startedWallMilliseconds]; forgets the oldest if there are too many. */
public fun LeavingServers.with(
    server: String,
    startedWallMilliseconds: Long,
): LeavingServers {
    val newest = maxOf(startedWallMilliseconds, starts[server] ?: startedWallMilliseconds)
    val isFull = server !in starts && starts.size >= MAX_LEAVING_SERVERS
    val kept = if (isFull) starts.remove(starts.keys.first()) else starts
    return LeavingServers(kept.put(server, newest))
}

/** Marks [entry] as leaving if that lifetime of the server, or a later one, said so. */
public fun LeavingServers.mark(entry: BackendServerEntry): BackendServerEntry {
    val isLeaving = starts[entry.id]?.let { entry.startedWallMilliseconds <= it } ?: false
    return if (isLeaving) entry.copy(leaving = true) else entry
}

/** Keeps the evidence and sends no more work to the server; what runs there goes on. */
internal fun TrafficState.handleServerLeaving(
    event: TrafficEvent.ServerLeaving,
): Transition<TrafficState, TrafficEffect> {
    val backend = backends[event.server]
    val started = event.startedWallMilliseconds ?: backend?.entry?.startedWallMilliseconds ?: return Transition(this)
    val marking = leavingServers.with(event.server, started)
    if (marking == leavingServers) return Transition(this)
    val marked = backends.updated(event.server) { it.copy(entry = marking.mark(it.entry)) }
    val explanation =
        TrafficEffect.RecordDecision(event.server, "backend server leaving", event.server, "started=$started")
    return Transition(copy(leavingServers = marking, backends = marked).withExpectedLoads(), listOf(explanation))
}

/** Lifetimes that are remembered; a server is gone from the list long before that many others have left. */
private const val MAX_LEAVING_SERVERS = 10_000
