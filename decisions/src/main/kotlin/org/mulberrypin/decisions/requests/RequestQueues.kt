/** Moves requests between the queues, the backend servers and the outside, keeping all counts in step. */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.persistentSetOf

/** Puts a request, new or resumed, at the end of its queue. */
internal fun RequestBook.enqueued(
    entry: RequestEntry,
    nowMilliseconds: Long,
): RequestBook {
    val key = waitingKey(entry)
    val queue = queues[key] ?: persistentSetOf()
    val waiting = entry.copy(server = "", changedMilliseconds = nowMilliseconds)
    return copy(
        entries = entries.put(entry.arrival.request, waiting),
        queues = queues.put(key, queue.add(entry.arrival.request)),
    )
}

/** Takes a waiting request out of its queue; its entry stays. */
internal fun RequestBook.dequeued(entry: RequestEntry): RequestBook {
    val key = waitingKey(entry)
    val queue = (queues[key] ?: return this).remove(entry.arrival.request)
    return copy(queues = if (queue.isEmpty()) queues.remove(key) else queues.put(key, queue))
}

/** Frees the place that a request under way takes on its backend server and in its team's limit. */
internal fun RequestBook.released(entry: RequestEntry): RequestBook {
    if (entry.waits) return this
    val team = entry.arrival.team
    val left = (underWay[team] ?: 0) - 1
    return copy(underWay = if (left <= 0) underWay.remove(team) else underWay.put(team, left))
        .withServer(entry.server) { it.copy(running = (it.running - 1).coerceAtLeast(0)) }
}

/** Forgets a request, whether it waits or is under way. */
internal fun RequestBook.forgotten(entry: RequestEntry): RequestBook {
    val freed = if (entry.waits) dequeued(entry) else released(entry)
    return freed.copy(entries = freed.entries.remove(entry.arrival.request))
}

private fun waitingKey(entry: RequestEntry): WaitingKey =
    WaitingKey(entry.pool, entry.arrival.priority, entry.arrival.team, resumed = entry.attempt > 0)
