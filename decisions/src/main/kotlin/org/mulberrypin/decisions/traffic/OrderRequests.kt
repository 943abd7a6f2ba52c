/**
 * Order in which requests that wait for a backend server are sent: by rank, then callers that come back after a
 * refusal, then by the work done for their teams of late, so that small teams are not crowded out by large ones.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.requests.TeamShares
import org.mulberrypin.decisions.requests.charged
import org.mulberrypin.decisions.requests.lowestVirtualTimeTeam

/** Returns the requests without a backend server in the order in which they get one. */
internal fun TrafficState.waitingInOrder(): List<ForwardedRequest> {
    val waiting = requests.values.filter { it.server == null }
    if (waiting.size < 2) return waiting
    return waiting
        .groupBy { rankOf(it.route, it.team) }
        .toSortedMap()
        .values
        .flatMap { equals ->
            val (returning, newcomers) = equals.partition { it.isReturning }
            inFairOrder(returning) + inFairOrder(newcomers)
        }
}

private fun TrafficState.inFairOrder(waiting: List<ForwardedRequest>): List<ForwardedRequest> {
    val queuesByTeam = waiting
        .sortedWith(compareBy({ it.arrivedMilliseconds }, { it.request }))
        .groupByTo(HashMap()) { it.team.orEmpty() }
        .mapValuesTo(HashMap()) { (_, requests) -> ArrayDeque(requests) }
    val ordered = ArrayList<ForwardedRequest>()
    var shares: TeamShares = queues.requestShares
    while (queuesByTeam.isNotEmpty()) {
        val team = lowestVirtualTimeTeam(queuesByTeam.keys, shares) ?: break
        val queue = queuesByTeam.getValue(team)
        val request = queue.removeFirst()
        ordered.add(request)
        shares = shares.charged(team, workOf(request), weight = 1.0)
        if (queue.isEmpty()) queuesByTeam.remove(team)
    }
    return ordered
}

/** Makes the first attempt of [request] if there is a server, and charges its work to its team. */
internal fun TrafficState.sendFirst(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val sent = sendRequest(request, nowMilliseconds)
    if (sent.effects.isEmpty() || request.attempt > 0) return sent
    val charged = sent.state.withQueues {
        it.copy(requestShares = it.requestShares.charged(request.team.orEmpty(), workOf(request), weight = 1.0))
    }
    return sent.copy(state = charged.withFirstAttempt(request.pool, nowMilliseconds))
}

/** Expected work of a request in milliseconds. */
private fun TrafficState.workOf(request: ForwardedRequest): Long =
    pressureOf(request.pool).meanRunMilliseconds.toLong().coerceAtLeast(1)
