/**
 * Dispatches queued requests to backend servers with free slots, by priority, then by weighted fair sharing between
 * teams, then retried and resumed requests before new ones, then first in, first out. An interactive request without a
 * free slot preempts a rollout, which is queued again and resumes after its last token.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.RoutePriority

internal fun dispatchWaiting(
    state: RequestState,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    var result = Transition<RequestState, RequestEffect>(state)
    val pools = state.queues.keys.mapTo(LinkedHashSet()) { it.pool }
    for (pool in pools) {
        for (priority in RoutePriority.entries) {
            result = result.andThen { dispatchPriority(it, pool, priority, policies, nowMilliseconds) }
        }
    }
    return result
}

private fun dispatchPriority(
    state: RequestState,
    pool: String,
    priority: RoutePriority,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    var result = Transition<RequestState, RequestEffect>(state)
    val blocked = HashSet<String>()
    while (result.state.inFlightCount < result.state.limits.inFlightLimit) {
        val waiting = waitingTeams(result.state, pool, priority) - blocked
        val team = policies.chooseTeam(waiting, result.state.shares) ?: break
        val next = dispatchTeam(result.state, pool, priority, team, policies, nowMilliseconds)
        if (next == null) blocked.add(team) else result = result.andThen { next }
    }
    return result
}

private fun waitingTeams(
    state: RequestState,
    pool: String,
    priority: RoutePriority,
): Set<String> =
    state.queues.keys
        .filter { it.pool == pool && it.priority == priority && isBelowInFlightLimit(state, it.team) }
        .mapTo(LinkedHashSet()) { it.team }

/** True when the team has capacity left in this instance's share of its in-flight limit. */
private fun isBelowInFlightLimit(
    state: RequestState,
    team: String,
): Boolean {
    val limit = state.routes.teams[team]?.inFlightLimit ?: 0
    val instanceLimit = (limit + state.instances - 1) / state.instances
    return limit == 0 || (state.inFlightByTeam[team] ?: 0) < instanceLimit
}

private fun dispatchTeam(
    state: RequestState,
    pool: String,
    priority: RoutePriority,
    team: String,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect>? =
    queueHeads(state, pool, priority, team)
        .mapNotNull { state.entries[it] }
        .firstNotNullOfOrNull { dispatchEntry(state, it, policies, nowMilliseconds) }

private fun queueHeads(
    state: RequestState,
    pool: String,
    priority: RoutePriority,
    team: String,
): List<Long> =
    listOf(true, false)
        .mapNotNull { resumed -> state.queues[QueueKey(pool, priority, team, resumed)] }
        .flatMap { it.take(QUEUE_SCAN_LIMIT) }

private fun dispatchEntry(
    state: RequestState,
    entry: RequestEntry,
    policies: RequestPolicies,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect>? {
    val chosen = policies.chooseServer(candidates(state, entry, nowMilliseconds), entry.arrival)
    return when {
        chosen != null -> dispatchTo(state, entry, chosen.state, nowMilliseconds)
        entry.arrival.priority == RoutePriority.INTERACTIVE -> preempt(state, entry, nowMilliseconds)
        else -> null
    }
}

private fun preempt(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect>? {
    val rollout = preemptibleRollout(state, entry, nowMilliseconds) ?: return null
    val server = state.servers[rollout.server] ?: return null
    val requeued = rollout.copy(earlierAttemptMayHaveRun = true)
    val freed = state.withSlotReleased(rollout).enqueued(requeued, nowMilliseconds)
    val effects =
        listOf(
            RequestEffect.CancelAttempt(rollout.arrival.request, rollout.attempt),
            explain(rollout.arrival, "pre-emption", rollout.server, "Preempted by an interactive request."),
        )
    return Transition(freed, effects).andThen { dispatchTo(it, entry, server, nowMilliseconds) }
}

/** Returns the repeatable rollout that arrived last among those on servers that the interactive request may use. */
private fun preemptibleRollout(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): RequestEntry? =
    state.entries.values
        .filter { it.pool == entry.pool && !it.isWaiting && it.arrival.priority == RoutePriority.ROLLOUT }
        .filter { it.arrival.repeatable }
        .filter { rollout ->
            val server = state.servers[rollout.server]
            server != null && isEligible(state, server, entry, nowMilliseconds) &&
                server.estimatedRequests(nowMilliseconds) < server.slots + 1
        }.maxByOrNull { it.arrivedMilliseconds }

private fun dispatchTo(
    state: RequestState,
    entry: RequestEntry,
    server: ServerState,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val arrival = entry.arrival
    val sent =
        entry.copy(
            attempt = entry.attempt + 1,
            server = server.server.name,
            lastActivityMilliseconds = nowMilliseconds,
        )
    val counted =
        state
            .dequeued(entry)
            .withServer(server.server.name) { it.copy(running = it.running + 1) }
            .withAttemptCounted(sent)
    val effects =
        listOf(
            RequestEffect.Dispatch(
                arrival.request,
                sent.attempt,
                server.server.name,
                server.server.address,
                sent.generatedTokens,
            ),
            explain(arrival, "dispatch", server.server.name, "Attempt ${sent.attempt}: server of pool ${entry.pool}."),
        )
    return Transition(counted.copy(entries = counted.entries.put(arrival.request, sent)), effects)
}

private fun RequestState.withAttemptCounted(entry: RequestEntry): RequestState {
    val team = entry.arrival.team
    val counted = copy(inFlightByTeam = inFlightByTeam.put(team, (inFlightByTeam[team] ?: 0) + 1))
    if (entry.attempt > 1) return counted
    return counted.copy(
        shares = shares.charged(team, entry.arrival.expectedTokens, weightOf(team)),
        budget = budget.deposit(limits.retryRatio),
    )
}

/** Number of requests tried at the head of each queue, so that one without a server does not block the others. */
private const val QUEUE_SCAN_LIMIT = 8
