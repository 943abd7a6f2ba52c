/** Decides when a request is sent again, when it waits, and how it ends without the answer of a backend server. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.RequestKind

internal fun canRepeat(request: ForwardedRequest): Boolean {
    val mayRepeat = request.route.kind == RequestKind.IDEMPOTENT || !request.mayHaveRun
    return mayRepeat && request.attempt < request.route.attemptLimit
}

internal fun TrafficState.retryOrGiveUp(
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
        !request.mayHaveRun -> ReplyStatus.UNAVAILABLE
        isOver -> ReplyStatus.GATEWAY_TIMEOUT
        else -> ReplyStatus.BAD_GATEWAY
    }
    val inputs = "$detail; attempts=${request.attempt} mayHaveRun=${request.mayHaveRun} " +
        "milliseconds=${nowMilliseconds - request.arrivedMilliseconds}"
    // An attempt that broke off may have run, and nothing better will be known.
    val usage = request.team.takeIf { request.mayHaveRun && !request.isCounted }
    return Transition(
        done,
        listOfNotNull(
            usage?.let(TrafficEffect::CountUsage),
            TrafficEffect.Explain(request.id, "given up $status", identity.name, inputs),
            TrafficEffect.Refuse(request.request, status, detail),
        ),
    )
}

internal fun TrafficState.acceptDeparture(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val table = request.server?.let { backends.changed(it, Backend::released) } ?: backends
    val next = copy(requests = requests.remove(request.request), backends = table)
    val count = request.team.takeIf { request.server != null && !request.isCounted }
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
internal fun TrafficState.continueRequests(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(requests.values) { state, request -> state.continueRequest(request, nowMilliseconds) }

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
                waitOrGiveUp(request, "no backend server is known", nowMilliseconds)
            }
        }

        isOver || nowMilliseconds >= request.attemptDeadlineMilliseconds -> {
            endAttempt(request, server, nowMilliseconds)
        }

        else -> {
            Transition(this)
        }
    }
}

/** Ends an attempt that was not answered in time; it may have run. */
private fun TrafficState.endAttempt(
    request: ForwardedRequest,
    server: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val slow = copy(backends = backends.changed(server) { it.released().failed(nowMilliseconds) })
    val idle = request.copy(server = null, mayHaveRun = true, isCounted = true)
    val counted = slow.counted(idle)
    val cancelled = counted.copy(effects = counted.effects + TrafficEffect.Cancel(request.request))
    val detail = "no answer from $server in time"
    return cancelled.andThen {
        if (nowMilliseconds >= request.deadlineMilliseconds) {
            it.giveUp(idle, detail, nowMilliseconds)
        } else {
            it.retryOrGiveUp(idle, detail, nowMilliseconds)
        }
    }
}

/** A refusal within this part of the objective leaves the caller time for another attempt elsewhere. */
private const val WAITING_PART = 5
