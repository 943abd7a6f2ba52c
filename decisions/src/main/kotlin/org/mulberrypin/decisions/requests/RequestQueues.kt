/** Queue operations of [RequestState], which keep entries, queues and counters consistent. */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.persistentSetOf

/** Appends a new or retried request to its queue. */
internal fun RequestState.enqueued(
    entry: RequestEntry,
    nowMilliseconds: Long,
): RequestState {
    val key = queueKey(entry)
    val queue = queues[key] ?: persistentSetOf()
    val waiting = entry.copy(server = "", lastActivityMilliseconds = nowMilliseconds)
    return copy(
        entries = entries.put(entry.arrival.request, waiting),
        queues = queues.put(key, queue.add(entry.arrival.request)),
    )
}

/** Removes a request from its queue but keeps its entry. */
internal fun RequestState.dequeued(entry: RequestEntry): RequestState {
    val key = queueKey(entry)
    val queue = (queues[key] ?: return this).remove(entry.arrival.request)
    return copy(queues = if (queue.isEmpty()) queues.remove(key) else queues.put(key, queue))
}

/** Releases the slot of an in-flight request on its backend server and in its team's in-flight limit. */
internal fun RequestState.withSlotReleased(entry: RequestEntry): RequestState {
    if (entry.isWaiting) return this
    val team = entry.arrival.team
    val count = (inFlightByTeam[team] ?: 0) - 1
    return copy(inFlightByTeam = if (count <= 0) inFlightByTeam.remove(team) else inFlightByTeam.put(team, count))
        .withServer(entry.server) { it.copy(running = (it.running - 1).coerceAtLeast(0)) }
}

/** Removes a queued or in-flight request. */
internal fun RequestState.removed(entry: RequestEntry): RequestState {
    val freed = if (entry.isWaiting) dequeued(entry) else withSlotReleased(entry)
    return freed.copy(entries = freed.entries.remove(entry.arrival.request))
}

private fun queueKey(entry: RequestEntry): QueueKey =
    QueueKey(entry.pool, entry.arrival.priority, entry.arrival.team, resumed = entry.attempt > 0)
