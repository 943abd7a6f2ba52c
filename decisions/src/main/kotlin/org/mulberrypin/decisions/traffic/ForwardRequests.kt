/**
 * Forwards single requests: authorization, selection of a backend server, retries where the kind of request allows
 * them, and the final response. A status that guarantees "not run" is returned only if no attempt can have run.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.work.describe
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ScoringCall
import org.mulberrypin.schema.generated.ServingRoute

internal fun TrafficState.handleRequestArrived(
    event: TrafficEvent.RequestArrived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val routingTable = routing ?: return reject(event, HttpStatusCode.UNAVAILABLE, "no configuration is known yet")
    val route = routingTable.findRoute(event.host, event.path)
        ?: return reject(event, HttpStatusCode.NOT_FOUND, "no route matches")
    val authorization = routingTable.authorize(route, event.key)
    return when {
        authorization !is Authorization.Granted -> {
            reject(event, HttpStatusCode.UNAUTHORIZED, "the key is missing or unknown")
        }

        route.kind == RequestKind.ROLLOUT -> {
            Transition(this, listOf(TrafficEffect.ReadSubmission(event.request, event.id, authorization.team)))
        }

        isHeld(event.content, nowMilliseconds) -> {
            val reason = "backend servers crashed under this request; it is held back"
            reject(event, HttpStatusCode.UNAVAILABLE, reason, remainingHold(event.content, nowMilliseconds))
        }

        else -> {
            val request = forwardedRequest(event, route, authorization.team, nowMilliseconds)
            if (request == null) {
                reject(event, HttpStatusCode.UNAVAILABLE, "the route has no pool")
            } else {
                admitRequest(request, nowMilliseconds)
            }
        }
    }
}

private fun TrafficState.reject(
    event: TrafficEvent.RequestArrived,
    status: Int,
    reason: String,
    retryMilliseconds: Long? = null,
): Transition<TrafficState, TrafficEffect> {
    val inputs = "host=${event.host} path=${event.path} configuration=${routing?.version}"
    val explanation = TrafficEffect.RecordDecision(event.id, "refused $status", identity.name, "$reason; $inputs")
    return Transition(this, listOf(explanation, TrafficEffect.Reject(event.request, status, reason, retryMilliseconds)))
}

private fun forwardedRequest(
    event: TrafficEvent.RequestArrived,
    route: ServingRoute,
    team: String?,
    nowMilliseconds: Long,
): ForwardedRequest? {
    val limits = listOfNotNull(
        event.deadlineMilliseconds,
        route.timeoutMilliseconds.takeIf { it > 0 },
    )
    return ForwardedRequest(
        request = event.request,
        id = event.id,
        origin = Origin.Caller,
        route = route,
        pool = poolOf(route, stableHash(event.request, event.id)) ?: return null,
        team = team,
        arrivedMilliseconds = nowMilliseconds,
        deadlineMilliseconds = nowMilliseconds + (limits.minOrNull() ?: DEFAULT_TIMEOUT_MILLISECONDS),
        content = event.content,
    )
}

/** Starts the scoring call of a task. The call may be retried; it needs no key and is not counted as usage. */
internal fun TrafficState.startScoring(
    job: String,
    task: String,
    call: ScoringCall,
    crashes: Int,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect>? {
    val route = routing?.findRoute(call.host, call.path) ?: return null
    val request = ForwardedRequest(
        request = nextInternalRequest,
        id = call.id,
        origin = Origin.Scoring(job, task),
        route = route,
        pool = poolOf(route, stableHash(0, call.id)) ?: return null,
        team = null,
        arrivedMilliseconds = nowMilliseconds,
        deadlineMilliseconds = nowMilliseconds + SCORING_TIMEOUT_MILLISECONDS,
        crashes = crashes,
    )
    return copy(nextInternalRequest = nextInternalRequest - 1).startRequest(request, nowMilliseconds)
}

internal fun TrafficState.startRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    if (request.origin == Origin.Caller && isWhollyEvacuated(request.pool)) {
        refuseEvacuated(request)
    } else {
        copy(requests = requests.put(request.request, request)).sendFirst(request, nowMilliseconds)
    }

internal fun TrafficState.sendRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val choice = chooseBackend(request, nowMilliseconds) ?: return Transition(this)
    val chosen = choice.candidate
    val remaining = request.deadlineMilliseconds - nowMilliseconds
    val sent = request.copy(
        attempt = request.attempt + 1,
        server = chosen.entry.id,
        tried = request.tried + chosen.entry.id,
        attemptDeadlineMilliseconds = nowMilliseconds + attemptMilliseconds(request, remaining),
        sentMilliseconds = nowMilliseconds,
        expected = choice.expected,
    )
    val inputs = sentInputs(sent, chosen, nowMilliseconds)
    val next = copy(
        requests = requests.put(request.request, sent),
        backends = backends.updated(chosen.entry.id) { it.acquired(nowMilliseconds) },
    ).withColdSend(chosen.entry.id, nowMilliseconds)
    return Transition(
        next,
        listOf(
            TrafficEffect.RecordDecision(request.id, "sent", chosen.entry.id, inputs),
            TrafficEffect.Send(
                request = request.request,
                attempt = sent.attempt,
                address = chosen.entry.address,
                server = chosen.entry.id,
                team = request.team,
                remainingMilliseconds = remaining.coerceAtLeast(1),
                scoring = scoringOf(request),
                serverStartedWallMilliseconds = chosen.entry.startedWallMilliseconds,
                priority = serverPriority(request.route, request.team),
            ),
        ),
    )
}

private fun TrafficState.sentInputs(
    request: ForwardedRequest,
    chosen: Backend,
    nowMilliseconds: Long,
): String =
    "attempt=${request.attempt} route=${request.route.name} configuration=${routing?.version} " +
        "inFlight=${chosen.inFlight} failures=${chosen.failures} " +
        "remaining=${request.deadlineMilliseconds - nowMilliseconds} " +
        "${request.expected?.describe()} ${chosen.work.describe(nowMilliseconds)}"

private fun TrafficState.scoringOf(request: ForwardedRequest): ScoringCall? {
    val origin = request.origin as? Origin.Scoring ?: return null
    return jobs[origin.job]
        ?.tasks
        ?.get(origin.task)
        ?.task
        ?.scoring
}

/** Reserves time for another attempt if the request can be retried; otherwise the attempt gets all remaining time. */
private fun attemptMilliseconds(
    request: ForwardedRequest,
    remaining: Long,
): Long {
    val isLast = request.route.kind != RequestKind.IDEMPOTENT || request.attempt + 1 >= request.route.attemptLimit
    return if (isLast) remaining else maxOf(remaining / 2, request.route.objectiveMilliseconds)
}

internal fun TrafficState.handleResponse(
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val request = requests[event.request]?.takeIf { it.attempt == event.attempt && it.server != null }
        ?: return Transition(this)
    val server = request.server.orEmpty()
    val reported = backends.updated(server) { it.answered(event.load, nowMilliseconds) }
    if (!event.notRun && isSuspect(request.content)) {
        return clearSuspect(request.content, nowMilliseconds).andThen { it.handleResponse(event, nowMilliseconds) }
    }
    val executed = request.copy(server = null, crashes = 0, mayHaveRun = true, isCounted = true)
    return when {
        event.notRun -> {
            val avoided = copy(backends = reported.updated(server) { it.refusedRequest(nowMilliseconds) })
            avoided.retryOrFail(request.copy(server = null), "status ${event.status}, not run", nowMilliseconds)
        }

        isFailure(request, event) -> {
            val errors = request.errors + if (event.status == HttpStatusCode.INTERNAL_ERROR) 1 else 0
            val failed = executed.copy(errors = errors)
            copy(backends = reported).counted(failed).andThen { it.retryAfterError(failed, event, nowMilliseconds) }
        }

        else -> {
            val succeeded = copy(backends = reported.updated(server, Backend::succeeded))
            succeeded.learnRun(request, server, nowMilliseconds).andThen { it.counted(executed) }.andThen {
                it.finish(executed, event, nowMilliseconds)
            }
        }
    }
}

/**
 * Whether a response is an error of the server: also one whose status means "not run" without the server's statement.
 * Of a scoring call, only a signed success is a score.
 */
private fun isFailure(
    request: ForwardedRequest,
    event: TrafficEvent.ResponseReceived,
): Boolean {
    val isSuccess = event.status < HttpStatusCode.REDIRECTION
    val isServerError = event.status >= HttpStatusCode.INTERNAL_ERROR || meansNotRun(event.status)
    val isError = isServerError || request.origin is Origin.Scoring
    return if (isSuccess) !event.signed else isError
}

/** Counts the request in the usage of its team unless it has already been counted. */
internal fun TrafficState.counted(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val isAlreadyCounted = requests[request.request]?.isCounted ?: true
    val updated = copy(requests = requests.put(request.request, request.copy(isCounted = true)))
    return Transition(
        updated,
        listOfNotNull(request.team?.takeIf { !isAlreadyCounted }?.let(TrafficEffect::CountUsage)),
    )
}

private fun TrafficState.retryAfterError(
    request: ForwardedRequest,
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val detail = "status ${event.status}, signed=${event.signed}"
    val isScoring = request.origin is Origin.Scoring
    val isTrue = request.finalStatus(event.status, nowMilliseconds) == event.status
    val mayRelay = event.status >= HttpStatusCode.REDIRECTION && isTrue && !isScoring
    return if (mayRelay && !canRetry(request, nowMilliseconds)) {
        Transition(this, retryWithheld(request, nowMilliseconds)).andThen { it.finish(request, event, nowMilliseconds) }
    } else {
        retryOrFail(request, detail, nowMilliseconds)
    }
}

private fun TrafficState.finish(
    request: ForwardedRequest,
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = copy(requests = requests.remove(request.request))
    return when (val origin = request.origin) {
        is Origin.Caller -> Transition(
            done,
            listOf(
                TrafficEffect.RecordDecision(
                    request.id,
                    "answered ${event.status}",
                    identity.name,
                    answeredInputs(request, event, nowMilliseconds),
                ),
                TrafficEffect.ForwardResponse(request.request, event.attempt),
            ),
        )

        is Origin.Scoring -> done.handleScore(origin, event.signature, nowMilliseconds)
    }
}

private fun answeredInputs(
    request: ForwardedRequest,
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): String =
    "attempts=${request.attempt} milliseconds=${nowMilliseconds - request.arrivedMilliseconds} " +
        "server=${request.tried.lastOrNull()} signature=${event.signature} connection=${event.connection}"

internal fun TrafficState.handleFailedAttempt(
    event: TrafficEvent.AttemptFailed,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val request = requests[event.request]?.takeIf { it.attempt == event.attempt && it.server != null }
        ?: return Transition(this)
    val server = request.server.orEmpty()
    val updatedBackends = backends.updated(server) { it.released().failed(nowMilliseconds) }
    val unassigned = request.copy(
        server = null,
        mayHaveRun = request.mayHaveRun || event.sent,
        crashes = request.crashes + if (event.connectionLost) 1 else 0,
    )
    val released = copy(backends = updatedBackends, requests = requests.put(request.request, unassigned))
    val blamed = if (event.connectionLost) released.withCrash(request, nowMilliseconds) else Transition(released)
    return blamed.andThen { it.retryOrFail(unassigned, event.detail, nowMilliseconds) }
}

/** Timeout of a request if neither the client nor the route sets one, in milliseconds. */
private const val DEFAULT_TIMEOUT_MILLISECONDS = 60_000L

/** Timeout of a scoring call, in milliseconds: twenty times its usual run time. */
private const val SCORING_TIMEOUT_MILLISECONDS = 3_000L
