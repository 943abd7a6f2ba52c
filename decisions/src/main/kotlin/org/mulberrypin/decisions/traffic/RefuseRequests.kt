/**
 * Refuses requests that can't be served in time at once instead of letting them wait, and says when to come back. What
 * is not known counts as room: a server without a recent load report is tried.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition

/** Starts [request], or refuses it as not run if it can't be served before its deadline. */
internal fun TrafficState.admitRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val isReturning = request.content in queues.refusedCallers
    val known = if (isReturning) withoutRefusedCaller(request.content) else this
    val arrived = request.copy(isReturning = isReturning)
    val reason = known.reasonToRefuse(arrived, nowMilliseconds)
    return if (reason == null) {
        known.startRequest(arrived, nowMilliseconds)
    } else {
        known.refuseAtOnce(arrived, reason, nowMilliseconds)
    }
}

private fun TrafficState.reasonToRefuse(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): String? =
    when {
        hasNoServerToExpect(request.pool) -> "the pool has no backend server"
        cannotBeInTime(request, nowMilliseconds) -> "all backend servers are busy for longer than the caller waits"
        else -> null
    }

/** Whether the list of backend servers is known and names none of [pool] that could serve now or later. */
internal fun TrafficState.hasNoServerToExpect(pool: String): Boolean =
    backends.isNotEmpty() && backends.values.none { it.entry.pool == pool && !it.entry.leaving }

/**
 * Whether every usable server is known to be busy for longer than [request] can wait. Requests that servers may run
 * before others that wait there are not judged by what waits.
 */
internal fun TrafficState.cannotBeInTime(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean {
    val wait = expectedWaitMilliseconds(request.pool, nowMilliseconds) ?: return false
    val rank = rankOf(request.route, request.team)
    val statedRanks = routing?.serverPriorities.orEmpty().keys
    val mayOvertake = statedRanks.any { it > rank }
    val end = nowMilliseconds + wait + pressureOf(request.pool).shortestRunMilliseconds
    return wait > 0 && !mayOvertake && end > request.deadlineMilliseconds
}

/** Whether not even the shortest run time of late fits in what is left to [request]. */
internal fun TrafficState.isTooLateToRun(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean {
    val pressure = pressureOf(request.pool)
    val end = nowMilliseconds + pressure.shortestRunMilliseconds
    return pressure.knowsRunTimes(nowMilliseconds) && end > request.deadlineMilliseconds
}

/** Time until the first server of [pool] has a free slot; null if it isn't known of every usable server. */
internal fun TrafficState.expectedWaitMilliseconds(
    pool: String,
    nowMilliseconds: Long,
): Double? {
    val pressure = pressureOf(pool)
    if (!pressure.knowsRunTimes(nowMilliseconds)) return null
    val usable = admittedServers(pool).filter { isUsable(it, nowMilliseconds) }
    val waits = usable.map { it.waitMilliseconds(pressure.meanRunMilliseconds, nowMilliseconds) }
    return if (waits.any { it == null }) null else waits.filterNotNull().minOrNull()
}

/** Time until this server has a free slot; null without a recent report or refusal. */
private fun Backend.waitMilliseconds(
    runMilliseconds: Double,
    nowMilliseconds: Long,
): Double? {
    val report = work.observed?.takeIf { nowMilliseconds - it.reportedMilliseconds <= MAX_REPORT_AGE_MILLISECONDS }
    val isRefusing = avoidedUntilMilliseconds > nowMilliseconds && failures == 0
    val slots = entry.slots.coerceAtLeast(1)
    val ahead = ((report?.others ?: 0.0) + inFlight + 1 - slots).coerceAtLeast(0.0)
    return when {
        report != null -> maxOf(ahead * runMilliseconds / slots, if (isRefusing) runMilliseconds else 0.0)
        isRefusing -> runMilliseconds
        else -> null
    }
}

private fun TrafficState.admittedServers(pool: String): List<Backend> =
    backends.values.filter { it.entry.pool == pool && isAdmitted(it) }

/** Requests per millisecond that the admitted servers of the request's pool complete when all slots are taken. */
internal fun TrafficState.drainRate(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Double =
    admittedServers(request.pool).sumOf { it.entry.slots } / expectedRunMilliseconds(request, nowMilliseconds)

private fun TrafficState.refuseAtOnce(
    request: ForwardedRequest,
    reason: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val retryMilliseconds = retryAfterMilliseconds(request, nowMilliseconds)
    val pressure = pressureOf(request.pool)
    val inputs = "$reason; pool=${request.pool} rank=${rankOf(request.route, request.team)} " +
        "wait=${expectedWaitMilliseconds(request.pool, nowMilliseconds)?.toLong()} " +
        "shortestRun=${pressure.shortestRunMilliseconds.toLong()} " +
        "drainPerSecond=${(drainRate(request, nowMilliseconds) * MILLISECONDS_PER_SECOND).toLong()} " +
        "remaining=${request.deadlineMilliseconds - nowMilliseconds} retryAfter=$retryMilliseconds " +
        "returning=${request.isReturning}"
    return Transition(
        withRefusedCaller(request, retryMilliseconds, nowMilliseconds),
        listOf(
            TrafficEffect.RecordDecision(request.id, "refused ${HttpStatusCode.UNAVAILABLE}", identity.name, inputs),
            TrafficEffect.CountLoadDecision(LoadDecision.REFUSED_AT_ONCE),
            TrafficEffect.Reject(request.request, HttpStatusCode.UNAVAILABLE, reason, retryMilliseconds),
        ),
    )
}

/** Remembers a caller that was told to come back, so that it goes before newcomers; the oldest is forgotten first. */
internal fun TrafficState.withRefusedCaller(
    request: ForwardedRequest,
    retryMilliseconds: Long?,
    nowMilliseconds: Long,
): TrafficState {
    if (request.content.isEmpty() || retryMilliseconds == null) return this
    val callers = queues.refusedCallers
    val isFull = request.content !in callers && callers.size >= MAX_REFUSED_CALLERS
    val oldest = if (isFull) callers.minByOrNull { it.value.refusedMilliseconds }?.key else null
    val kept = oldest?.let(callers::remove) ?: callers
    val caller = RefusedCaller(request.pool, nowMilliseconds, nowMilliseconds + retryMilliseconds)
    return withQueues { it.copy(refusedCallers = kept.put(request.content, caller)) }
}

private fun TrafficState.withoutRefusedCaller(content: String): TrafficState =
    withQueues { it.copy(refusedCallers = it.refusedCallers.remove(content)) }

/** Age up to which a load report tells whether a server has room, in milliseconds. */
private const val MAX_REPORT_AGE_MILLISECONDS = 300L

/** Refused callers that are remembered. */
private const val MAX_REFUSED_CALLERS = 1_000

private const val MILLISECONDS_PER_SECOND = 1_000
