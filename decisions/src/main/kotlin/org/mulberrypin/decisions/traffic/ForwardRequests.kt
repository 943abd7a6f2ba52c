/**
 * Decides the life of a request that is forwarded whole: admission, choice of a backend server, repetition where the
 * kind of request allows it, and the final answer. A status that promises "not run" is given only while no attempt may
 * have run.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ScoringCall
import org.mulberrypin.schema.generated.ServingRoute

internal fun TrafficState.acceptRequest(
    event: TrafficEvent.RequestArrived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val table = routing ?: return refuse(event, UNAVAILABLE, "no configuration is known yet")
    val route = table.findRoute(event.host, event.path) ?: return refuse(event, NOT_FOUND, "no route matches")
    val admission = table.admit(route, event.key)
    return when {
        admission !is Admission.Granted -> {
            refuse(event, UNAUTHORIZED, "the key is missing or unknown")
        }

        route.kind == RequestKind.ROLLOUT -> {
            Transition(this, listOf(TrafficEffect.ReadSubmission(event.request, event.id, admission.team)))
        }

        else -> {
            val request = forwardedRequest(event, route, admission.team, nowMilliseconds)
            if (request == null) {
                refuse(event, UNAVAILABLE, "the route has no pool")
            } else {
                startRequest(request, nowMilliseconds)
            }
        }
    }
}

private fun TrafficState.refuse(
    event: TrafficEvent.RequestArrived,
    status: Int,
    reason: String,
): Transition<TrafficState, TrafficEffect> {
    val inputs = "host=${event.host} path=${event.path} configuration=${routing?.version}"
    val explanation = TrafficEffect.Explain(event.id, "refused $status", identity.name, "$reason; $inputs")
    return Transition(this, listOf(explanation, TrafficEffect.Refuse(event.request, status, reason)))
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
        pool = poolOf(route, mix(event.request, event.id)) ?: return null,
        team = team,
        arrivedMilliseconds = nowMilliseconds,
        deadlineMilliseconds = nowMilliseconds + (limits.minOrNull() ?: LONGEST_REQUEST_MILLISECONDS),
    )
}

/** Starts the call that scores the text of a task; it may be repeated and runs without key or team. */
internal fun TrafficState.startScoring(
    job: String,
    task: String,
    call: ScoringCall,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect>? {
    val route = routing?.findRoute(call.host, call.path) ?: return null
    val request = ForwardedRequest(
        request = nextInternal,
        id = call.id,
        origin = Origin.Scoring(job, task),
        route = route,
        pool = poolOf(route, mix(0, call.id)) ?: return null,
        team = null,
        arrivedMilliseconds = nowMilliseconds,
        deadlineMilliseconds = nowMilliseconds + SCORING_MILLISECONDS,
    )
    return copy(nextInternal = nextInternal - 1).startRequest(request, nowMilliseconds)
}

private fun TrafficState.startRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    copy(requests = requests.put(request.request, request)).sendRequest(request, nowMilliseconds)

internal fun TrafficState.sendRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val candidates = backends.values.filter {
        it.entry.pool == request.pool && !it.entry.leaving && it.entry.id !in request.tried
    }
    val chosen = chooseBackend(candidates, identity.failureDomain, mix(request.request, request.id), nowMilliseconds)
        ?: return Transition(this)
    val remaining = request.deadlineMilliseconds - nowMilliseconds
    val sent = request.copy(
        attempt = request.attempt + 1,
        server = chosen.entry.id,
        tried = request.tried + chosen.entry.id,
        attemptDeadlineMilliseconds = nowMilliseconds + attemptMilliseconds(request, remaining),
    )
    val next = copy(
        requests = requests.put(request.request, sent),
        backends = backends.changed(chosen.entry.id, Backend::sent),
    )
    return Transition(
        next,
        listOf(
            TrafficEffect.Explain(request.id, "sent", chosen.entry.id, sentInputs(sent, chosen, remaining)),
            TrafficEffect.Send(
                request = request.request,
                attempt = sent.attempt,
                address = chosen.entry.address,
                server = chosen.entry.id,
                team = request.team,
                remainingMilliseconds = remaining.coerceAtLeast(1),
                scoring = scoringOf(request),
            ),
        ),
    )
}

private fun TrafficState.sentInputs(
    request: ForwardedRequest,
    chosen: Backend,
    remaining: Long,
): String =
    "attempt=${request.attempt} route=${request.route.name} configuration=${routing?.version} " +
        "inFlight=${chosen.inFlight} load=${chosen.load} failures=${chosen.failures} remaining=$remaining"

private fun TrafficState.scoringOf(request: ForwardedRequest): ScoringCall? {
    val origin = request.origin as? Origin.Scoring ?: return null
    return jobs[origin.job]
        ?.tasks
        ?.get(origin.task)
        ?.task
        ?.scoring
}

/** Leaves a repeatable request time for another attempt; any other has all the time that is left. */
private fun attemptMilliseconds(
    request: ForwardedRequest,
    remaining: Long,
): Long {
    val isLast = request.route.kind != RequestKind.IDEMPOTENT || request.attempt + 1 >= request.route.attemptLimit
    return if (isLast) remaining else maxOf(remaining / 2, request.route.objectiveMilliseconds)
}

internal fun TrafficState.acceptAnswer(
    event: TrafficEvent.Answered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val request = requests[event.request]?.takeIf { it.attempt == event.attempt && it.server != null }
        ?: return Transition(this)
    val server = request.server.orEmpty()
    val reported = backends.changed(server) { it.released().reported(event.load, nowMilliseconds) }
    val idle = request.copy(server = null)
    return when {
        event.notRun -> {
            val full = copy(backends = reported.changed(server) { it.full(nowMilliseconds) })
            full.retryOrGiveUp(idle, "status ${event.status}, not run", nowMilliseconds)
        }

        event.status >= SERVER_ERRORS || (event.status < REDIRECTIONS && !event.signed) -> {
            val errors = idle.errors + if (event.status == INTERNAL_ERROR) 1 else 0
            val ran = idle.copy(mayHaveRun = true, errors = errors)
            val noted = copy(backends = reported).counted(ran)
            noted.andThen { it.retryAfterError(ran, event, nowMilliseconds) }
        }

        else -> {
            copy(backends = reported.changed(server, Backend::succeeded)).counted(idle).andThen {
                it.finish(idle, event, nowMilliseconds)
            }
        }
    }
}

private fun Backend.reported(
    load: Int?,
    nowMilliseconds: Long,
): Backend = if (load == null) this else copy(load = load, loadMilliseconds = nowMilliseconds)

/** Counts the request when an attempt of it has run for the first time. */
private fun TrafficState.counted(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val isFirst = requests[request.request]?.mayHaveRun == false
    val team = request.team.takeIf { isFirst }
    val kept = if (request.request in requests) copy(requests = requests.put(request.request, request)) else this
    return Transition(kept, listOfNotNull(team?.let(TrafficEffect::CountUsage)))
}

private fun TrafficState.retryAfterError(
    request: ForwardedRequest,
    event: TrafficEvent.Answered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val detail = "status ${event.status}, signed=${event.signed}"
    val isScoring = request.origin is Origin.Scoring
    val mayRelay = event.status >= REDIRECTIONS && !isScoring
    return if (mayRelay &&
        !canRepeat(request)
    ) {
        finish(request, event, nowMilliseconds)
    } else {
        retryOrGiveUp(request, detail, nowMilliseconds)
    }
}

private fun TrafficState.finish(
    request: ForwardedRequest,
    event: TrafficEvent.Answered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = copy(requests = requests.remove(request.request))
    return when (val origin = request.origin) {
        is Origin.Caller -> Transition(
            done,
            listOf(
                TrafficEffect.Explain(
                    request.id,
                    "answered ${event.status}",
                    identity.name,
                    "attempts=${request.attempt} milliseconds=${nowMilliseconds - request.arrivedMilliseconds}",
                ),
                TrafficEffect.Relay(request.request, event.attempt),
            ),
        )

        is Origin.Scoring -> done.acceptScore(origin, event.signature, nowMilliseconds)
    }
}

internal fun TrafficState.acceptBreak(
    event: TrafficEvent.Broke,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val request = requests[event.request]?.takeIf { it.attempt == event.attempt && it.server != null }
        ?: return Transition(this)
    val server = request.server.orEmpty()
    val table = backends.changed(server) { it.released().failed(nowMilliseconds) }
    val idle = request.copy(server = null, mayHaveRun = request.mayHaveRun || event.sent)
    return copy(backends = table, requests = requests.put(request.request, idle))
        .retryOrGiveUp(idle, event.detail, nowMilliseconds)
}

private fun canRepeat(request: ForwardedRequest): Boolean {
    val mayRepeat = request.route.kind == RequestKind.IDEMPOTENT || !request.mayHaveRun
    return mayRepeat && request.attempt < request.route.attemptLimit
}

private fun TrafficState.retryOrGiveUp(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val noted = Transition<TrafficState, TrafficEffect>(
        copy(requests = requests.put(request.request, request)),
        listOf(
            TrafficEffect.Explain(request.id, "attempt failed", request.tried.lastOrNull().orEmpty(), detail),
        ),
    )
    if (!canRepeat(request)) return noted.andThen { it.giveUp(request, detail, nowMilliseconds) }
    return noted.andThen { state ->
        val sent = state.sendRequest(request, nowMilliseconds)
        if (sent.effects.isNotEmpty()) sent else state.waitOrGiveUp(request, detail, nowMilliseconds)
    }
}

/** A request that no backend server can take right now waits for a part of its objective. */
private fun TrafficState.waitOrGiveUp(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val waited = nowMilliseconds - request.arrivedMilliseconds
    val isPatient = request.tried.isEmpty() && waited < request.route.objectiveMilliseconds / WAITING_PART
    return if (isPatient) Transition(this) else giveUp(request, detail, nowMilliseconds)
}

/** Ends a request without the answer of a backend server. */
internal fun TrafficState.giveUp(
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = copy(requests = requests.remove(request.request))
    val origin = request.origin
    if (origin is Origin.Scoring) return done.failScoring(origin, request, detail, nowMilliseconds)
    val isOver = nowMilliseconds >= request.deadlineMilliseconds
    val status = when {
        !request.mayHaveRun -> UNAVAILABLE
        isOver -> GATEWAY_TIMEOUT
        else -> BAD_GATEWAY
    }
    val inputs = "$detail; attempts=${request.attempt} mayHaveRun=${request.mayHaveRun} " +
        "milliseconds=${nowMilliseconds - request.arrivedMilliseconds}"
    return Transition(
        done,
        listOf(
            TrafficEffect.Explain(request.id, "given up $status", identity.name, inputs),
            TrafficEffect.Refuse(request.request, status, detail),
        ),
    )
}

internal fun TrafficState.acceptDeparture(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val table = request.server?.let { backends.changed(it, Backend::released) } ?: backends
    val next = copy(requests = requests.remove(request.request), backends = table)
    val count = request.team.takeIf { request.server != null && !request.mayHaveRun }
    return Transition(
        next,
        listOfNotNull(
            count?.let(TrafficEffect::CountUsage),
            TrafficEffect.Explain(request.id, "caller left", request.server.orEmpty(), "attempt=${request.attempt}"),
            TrafficEffect.Cancel(request.request),
        ),
    )
}

/** Ends attempts and requests whose time is over, and sends those that wait. */
internal fun TrafficState.continueRequests(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    var result = Transition<TrafficState, TrafficEffect>(this)
    for (request in requests.values) {
        result = result.andThen { it.continueRequest(request, nowMilliseconds) }
    }
    return result
}

private fun TrafficState.continueRequest(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val server = request.server
    val isOver = nowMilliseconds >= request.deadlineMilliseconds
    return when {
        server == null && isOver -> {
            giveUp(request, "the deadline passed before a backend server was free", nowMilliseconds)
        }

        server == null -> {
            val sent = sendRequest(request, nowMilliseconds)
            if (sent.effects.isNotEmpty()) {
                sent
            } else {
                waitOrGiveUp(
                    request,
                    "no backend server is known",
                    nowMilliseconds,
                )
            }
        }

        isOver || nowMilliseconds >= request.attemptDeadlineMilliseconds -> {
            val slow = copy(backends = backends.changed(server) { it.released().failed(nowMilliseconds) })
            val idle = request.copy(server = null, mayHaveRun = true)
            val cancelled = slow.counted(idle).let {
                it.copy(
                    effects =
                        it.effects + TrafficEffect.Cancel(request.request),
                )
            }
            val detail = "no answer from $server in time"
            cancelled.andThen {
                if (isOver) {
                    it.giveUp(
                        idle,
                        detail,
                        nowMilliseconds,
                    )
                } else {
                    it.retryOrGiveUp(idle, detail, nowMilliseconds)
                }
            }
        }

        else -> {
            Transition(this)
        }
    }
}

internal const val UNAVAILABLE = 503
internal const val NOT_FOUND = 404
internal const val UNAUTHORIZED = 401
private const val BAD_GATEWAY = 502
private const val GATEWAY_TIMEOUT = 504
private const val INTERNAL_ERROR = 500
private const val SERVER_ERRORS = 500
private const val REDIRECTIONS = 300

/** Longest life of a request whose caller and route name no limit, in milliseconds. */
private const val LONGEST_REQUEST_MILLISECONDS = 60_000L

/** Time for the call that scores a task, in milliseconds; twenty times its usual work. */
private const val SCORING_MILLISECONDS = 3_000L

/** A refusal within this part of the objective leaves the caller time for another attempt elsewhere. */
private const val WAITING_PART = 5
