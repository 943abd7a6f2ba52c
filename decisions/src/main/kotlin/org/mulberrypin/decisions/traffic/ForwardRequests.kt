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
    val table = routing ?: return refuse(event, ReplyStatus.UNAVAILABLE, "no configuration is known yet")
    val route = table.findRoute(event.host, event.path)
        ?: return refuse(event, ReplyStatus.NOT_FOUND, "no route matches")
    val admission = table.admit(route, event.key)
    return when {
        admission !is Admission.Granted -> {
            refuse(event, ReplyStatus.UNAUTHORIZED, "the key is missing or unknown")
        }

        route.kind == RequestKind.ROLLOUT -> {
            Transition(this, listOf(TrafficEffect.ReadSubmission(event.request, event.id, admission.team)))
        }

        else -> {
            val request = forwardedRequest(event, route, admission.team, nowMilliseconds)
            if (request == null) {
                refuse(event, ReplyStatus.UNAVAILABLE, "the route has no pool")
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

        event.status >= ReplyStatus.INTERNAL_ERROR || (event.status < ReplyStatus.REDIRECTION && !event.signed) -> {
            val errors = idle.errors + if (event.status == ReplyStatus.INTERNAL_ERROR) 1 else 0
            val ran = idle.copy(mayHaveRun = true, errors = errors)
            val noted = copy(backends = reported).counted(ran)
            noted.andThen { it.retryAfterError(ran.copy(isCounted = true), event, nowMilliseconds) }
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

/** Counts the request as usage of its team, unless it is counted already. */
internal fun TrafficState.counted(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val isKnown = requests[request.request]?.isCounted ?: true
    val kept = copy(requests = requests.put(request.request, request.copy(isCounted = true)))
    return Transition(kept, listOfNotNull(request.team?.takeIf { !isKnown }?.let(TrafficEffect::CountUsage)))
}

private fun TrafficState.retryAfterError(
    request: ForwardedRequest,
    event: TrafficEvent.Answered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val detail = "status ${event.status}, signed=${event.signed}"
    val isScoring = request.origin is Origin.Scoring
    val mayRelay = event.status >= ReplyStatus.REDIRECTION && !isScoring
    return if (mayRelay && !canRepeat(request)) {
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

/** Longest life of a request whose caller and route name no limit, in milliseconds. */
private const val LONGEST_REQUEST_MILLISECONDS = 60_000L

/** Time for the call that scores a task, in milliseconds; twenty times its usual work. */
private const val SCORING_MILLISECONDS = 3_000L
