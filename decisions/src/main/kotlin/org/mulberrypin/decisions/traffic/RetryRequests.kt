/** Decides when a request is retried, when it waits for a backend server and when it fails. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServingRoute

internal fun TrafficState.canRetry(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean = isRetryUseful(request, nowMilliseconds) && isWithinRetryBudget(request, nowMilliseconds)

/** Whether another attempt is allowed and could still serve the caller. */
private fun TrafficState.isRetryUseful(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean {
    val isRetrySafe = isRepeatable(request.route) || !request.mayHaveRun
    val isSuspect = request.origin is Origin.Scoring && crashWait(request.crashes) > 0
    val isTooLate = request.mayHaveRun && isTooLateToRun(request, nowMilliseconds)
    val isHopeless = isTooLate || cannotBeInTime(request, nowMilliseconds)
    return isRetrySafe && request.attempt < request.route.attemptLimit && !isSuspect && !isHopeless &&
        !isHeld(request.content, nowMilliseconds)
}

/** Whether a request of [route] may run more than once; the caller has got nothing of a stream that failed. */
private fun isRepeatable(route: ServingRoute): Boolean =
    route.kind == RequestKind.IDEMPOTENT || (route.kind == RequestKind.STREAM && route.resumable)

/** What is told of a retry that the budget of its pool does not allow. */
internal fun TrafficState.retryWithheld(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): List<TrafficEffect> {
    val isUseful = isRetryUseful(request, nowMilliseconds)
    if (!isUseful || isWithinRetryBudget(request, nowMilliseconds)) return emptyList()
    val inputs = "pool=${request.pool} attempt=${request.attempt} mayHaveRun=${request.mayHaveRun}"
    return listOf(
        TrafficEffect.RecordDecision(request.id, "retry withheld", request.pool, inputs),
        TrafficEffect.CountLoadDecision(LoadDecision.RETRY_WITHHELD),
    )
}

internal fun TrafficState.retryOrFail(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val mayRetry = canRetry(request, nowMilliseconds)
    val recorded = Transition<TrafficState, TrafficEffect>(
        copy(requests = requests.put(request.request, request)),
        listOf(
            TrafficEffect.RecordDecision(request.id, "attempt failed", request.tried.lastOrNull().orEmpty(), detail),
        ) + retryWithheld(request, nowMilliseconds),
    )
    return recorded.andThen { state ->
        val sent = if (mayRetry) state.sendRequest(request, nowMilliseconds) else Transition(state)
        when {
            !mayRetry -> state.failRequest(request, detail, nowMilliseconds)
            sent.effects.isNotEmpty() -> sent.copy(state = sent.state.withRetrySpent(request, nowMilliseconds))
            else -> state.waitOrFail(request, detail, nowMilliseconds)
        }
    }
}

/** Lets a request that has not been sent yet wait for a backend server for a fraction of its latency objective. */
private fun TrafficState.waitOrFail(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val waited = nowMilliseconds - request.arrivedMilliseconds
    val mayWait = request.tried.isEmpty() && waited < request.route.objectiveMilliseconds / OBJECTIVE_WAIT_DIVISOR
    return if (mayWait) Transition(this) else failRequest(request, detail, nowMilliseconds)
}

/** Ends a request without a response from a backend server. */
internal fun TrafficState.failRequest(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = copy(requests = requests.remove(request.request))
    val origin = request.origin
    if (origin is Origin.Scoring) return done.handleScoringFailure(origin, request, detail, nowMilliseconds)
    val status = request.finalStatus(HttpStatusCode.UNAVAILABLE, nowMilliseconds)
    val isNotRun = status == HttpStatusCode.UNAVAILABLE
    val hold = remainingHold(request.content, nowMilliseconds)
    val turn = if (isNotRun && hold == null) retryAfterMilliseconds(request, nowMilliseconds) else null
    val retryMilliseconds = hold ?: turn
    val inputs = "$detail; attempts=${request.attempt} mayHaveRun=${request.mayHaveRun} " +
        "milliseconds=${nowMilliseconds - request.arrivedMilliseconds} retryAfter=$retryMilliseconds"
    // A failed attempt may have run, and its outcome will stay unknown, so it counts as usage.
    val usage = request.team.takeIf { request.mayHaveRun && !request.isCounted }
    val announced = done
        .withRefusedCaller(request, turn, nowMilliseconds)
        .announceSuspect(request.content)
    return Transition(
        announced.state,
        announced.effects + listOfNotNull(
            usage?.let(TrafficEffect::CountUsage),
            TrafficEffect.RecordDecision(request.id, "given up $status", identity.name, inputs),
            TrafficEffect.Reject(request.request, status, detail, retryMilliseconds),
        ),
    )
}

internal fun TrafficState.handleCallerDisconnect(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val updatedBackends = request.server?.let { backends.updated(it, Backend::released) } ?: backends
    val next = copy(requests = requests.remove(request.request), backends = updatedBackends)
    val count = request.team.takeIf { request.server != null && !request.isCounted }
    return Transition(
        next,
        listOfNotNull(
            count?.let(TrafficEffect::CountUsage),
            TrafficEffect.RecordDecision(
                request.id,
                "caller left",
                request.server.orEmpty(),
                "attempt=${request.attempt}",
            ),
            TrafficEffect.Cancel(request.request),
        ),
    )
}

/** Ends attempts and requests that have timed out, and sends waiting requests. */
internal fun TrafficState.continueRequests(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val waiting = waitingInOrder()
    return decideEach(requests.values.filter { it.server != null }) { state, request ->
        state.continueRequest(request, nowMilliseconds)
    }.andThen { it.decideEach(waiting) { state, request -> state.continueRequest(request, nowMilliseconds) } }
}

private fun TrafficState.continueRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val server = request.server
    val isPastDeadline = nowMilliseconds >= request.deadlineMilliseconds
    return when {
        server == null && isPastDeadline -> {
            failRequest(request, "the deadline passed before a backend server was free", nowMilliseconds)
        }

        server == null && isHeld(request.content, nowMilliseconds) -> {
            failRequest(request, "backend servers crashed under this request", nowMilliseconds)
        }

        server == null -> {
            val sent = sendFirst(request, nowMilliseconds)
            if (sent.effects.isNotEmpty()) {
                sent
            } else {
                waitOrFail(request, "no backend server is available", nowMilliseconds)
            }
        }

        isPastDeadline || nowMilliseconds >= request.attemptDeadlineMilliseconds -> {
            endAttempt(request, server, nowMilliseconds)
        }

        else -> {
            Transition(this)
        }
    }
}

/** Ends an attempt that got no response in time; it may have run. */
private fun TrafficState.endAttempt(
    request: ForwardedRequest,
    server: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val released = copy(backends = backends.updated(server) { it.released().failed(nowMilliseconds) })
        .withShortage(request.pool, nowMilliseconds)
    val unassigned = request.copy(server = null, mayHaveRun = true, isCounted = true)
    val counted = released.counted(unassigned)
    val cancelled = counted.copy(effects = counted.effects + TrafficEffect.Cancel(request.request))
    val detail = "no answer from $server in time"
    return cancelled.andThen {
        if (nowMilliseconds >= request.deadlineMilliseconds) {
            it.failRequest(unassigned, detail, nowMilliseconds)
        } else {
            it.retryOrFail(unassigned, detail, nowMilliseconds)
        }
    }
}

/** Responds to all clients whose requests are still open, so that none is cut off without a response. */
internal fun TrafficState.failOpenRequests(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(requests.values.filter { it.origin == Origin.Caller }) { state, request ->
        val released = request.server?.let { state.backends.updated(it, Backend::released) } ?: state.backends
        val ended = request.copy(server = null, mayHaveRun = request.mayHaveRun || request.server != null)
        val failed = state.copy(backends = released).failRequest(ended, "the instance stops", nowMilliseconds)
        failed.copy(effects = listOf(TrafficEffect.Cancel(request.request)) + failed.effects)
    }

/** Latency objective divided by the longest wait; a client that is refused still has time to use another instance. */
private const val OBJECTIVE_WAIT_DIVISOR = 5
