/**
 * Sends waiting requests to backend servers that have room: interactive requests first, within a priority the team
 * that was served the least for its weight, within a team those whose earlier attempt ended, then in their order. An
 * interactive request that finds no room takes the place of a rollout, which continues elsewhere from where it was.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.RoutePriority

internal fun dispatchWaiting(
    book: RequestBook,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    var result = Transition<RequestBook, RequestEffect>(book)
    val pools = book.queues.keys.mapTo(LinkedHashSet()) { it.pool }
    for (pool in pools) {
        for (priority in RoutePriority.entries) {
            result = result.andThen { dispatchPriority(it, pool, priority, policies, nowMilliseconds) }
        }
    }
    return result
}

private fun dispatchPriority(
    book: RequestBook,
    pool: String,
    priority: RoutePriority,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    var result = Transition<RequestBook, RequestEffect>(book)
    val blocked = HashSet<String>()
    while (result.state.underWayCount < result.state.limits.inFlight) {
        val waiting = waitingTeams(result.state, pool, priority) - blocked
        val team = policies.chooseTeam(waiting, result.state.shares) ?: break
        val next = dispatchTeam(result.state, pool, priority, team, policies, nowMilliseconds)
        if (next == null) blocked.add(team) else result = result.andThen { next }
    }
    return result
}

private fun waitingTeams(
    book: RequestBook,
    pool: String,
    priority: RoutePriority,
): Set<String> =
    book.queues.keys
        .filter { it.pool == pool && it.priority == priority && mayStart(book, it.team) }
        .mapTo(LinkedHashSet()) { it.team }

/** True when the team's portion of its limit at this instance is not used up. */
private fun mayStart(
    book: RequestBook,
    team: String,
): Boolean {
    val limit = book.routes.teams[team]?.inFlightLimit ?: 0
    val portion = (limit + book.instances - 1) / book.instances
    return limit == 0 || (book.underWay[team] ?: 0) < portion
}

private fun dispatchTeam(
    book: RequestBook,
    pool: String,
    priority: RoutePriority,
    team: String,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect>? =
    headOfQueue(book, pool, priority, team)
        .mapNotNull { book.entries[it] }
        .firstNotNullOfOrNull { dispatchEntry(book, it, policies, nowMilliseconds) }

private fun headOfQueue(
    book: RequestBook,
    pool: String,
    priority: RoutePriority,
    team: String,
): List<Long> =
    listOf(true, false)
        .mapNotNull { resumed -> book.queues[WaitingKey(pool, priority, team, resumed)] }
        .flatMap { it.take(QUEUE_HEAD) }

private fun dispatchEntry(
    book: RequestBook,
    entry: RequestEntry,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect>? {
    val chosen = policies.chooseServer(candidates(book, entry, nowMilliseconds), entry.arrival)
    return when {
        chosen != null -> send(book, entry, chosen.state, nowMilliseconds)
        entry.arrival.priority == RoutePriority.INTERACTIVE -> preempt(book, entry, nowMilliseconds)
        else -> null
    }
}

private fun preempt(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect>? {
    val rollout = preemptibleRollout(book, entry, nowMilliseconds) ?: return null
    val server = book.servers[rollout.server] ?: return null
    val moved = rollout.copy(ranBefore = true)
    val freed = book.released(rollout).enqueued(moved, nowMilliseconds)
    val effects =
        listOf(
            RequestEffect.CancelAttempt(rollout.arrival.request, rollout.attempt),
            explain(rollout.arrival, "pre-emption", rollout.server, "Moved for an interactive request."),
        )
    return Transition(freed, effects).andThen { send(it, entry, server, nowMilliseconds) }
}

/** The rollout of this instance that started last on a server that the interactive request may use. */
private fun preemptibleRollout(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): RequestEntry? =
    book.entries.values
        .filter { it.pool == entry.pool && !it.waits && it.arrival.priority == RoutePriority.ROLLOUT }
        .filter { it.arrival.repeatable }
        .filter { rollout ->
            val server = book.servers[rollout.server]
            server != null && usable(book, server, entry, nowMilliseconds) &&
                server.estimatedRunning(nowMilliseconds) < server.slots + 1
        }.maxByOrNull { it.arrivedMilliseconds }

private fun send(
    book: RequestBook,
    entry: RequestEntry,
    server: ServerState,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val arrival = entry.arrival
    val sent =
        entry.copy(
            attempt = entry.attempt + 1,
            server = server.server.name,
            changedMilliseconds = nowMilliseconds,
        )
    val counted =
        book
            .dequeued(entry)
            .withServer(server.server.name) { it.copy(running = it.running + 1) }
            .startCounted(sent)
    val effects =
        listOf(
            RequestEffect.Dispatch(
                arrival.request,
                sent.attempt,
                server.server.name,
                server.server.address,
                sent.generatedTokens,
            ),
            explain(arrival, "dispatch", server.server.name, "Attempt ${sent.attempt}: chosen of pool ${entry.pool}."),
        )
    return Transition(counted.copy(entries = counted.entries.put(arrival.request, sent)), effects)
}

private fun RequestBook.startCounted(entry: RequestEntry): RequestBook {
    val team = entry.arrival.team
    val counted = copy(underWay = underWay.put(team, (underWay[team] ?: 0) + 1))
    if (entry.attempt > 1) return counted
    return counted.copy(
        shares = shares.served(team, entry.arrival.expectedTokens, weightOf(team)),
        budget = budget.earn(limits.retryRatio),
    )
}

/** Requests at the head of a team's queue that are considered when the first one finds no backend server. */
private const val QUEUE_HEAD = 8
