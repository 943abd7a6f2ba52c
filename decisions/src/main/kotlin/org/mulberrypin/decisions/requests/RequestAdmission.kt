/** Admission control: queues a request, or refuses it with the reason. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RoutePriority

internal fun admit(
    state: RequestState,
    arrival: RequestArrival,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val route = state.routes.route(arrival.route)
    val refusal = refusalOf(state, route, arrival)
    if (route == null || refusal != null) {
        return Transition(state, replyNotRun(arrival, refusal ?: Refusal.UNKNOWN_ROUTE, step = "admission"))
    }
    val entry =
        RequestEntry(
            arrival = arrival,
            pool = route.pool,
            attempt = 0,
            server = "",
            arrivedMilliseconds = nowMilliseconds,
            lastActivityMilliseconds = nowMilliseconds,
        )
    return Transition(state.enqueued(entry, nowMilliseconds))
}

private fun refusalOf(
    state: RequestState,
    route: Route?,
    arrival: RequestArrival,
): Refusal? =
    when {
        state.draining -> Refusal.LEAVING

        !state.isConfigurationConfirmed -> Refusal.CONFIGURATION_UNCERTAIN

        route == null || !state.routes.authorizes(route, arrival) -> Refusal.UNKNOWN_ROUTE

        state.crashes.isIsolated(arrival.contentDigest, state.limits.crashLimit) -> Refusal.ISOLATED

        state.waitingCountOf(arrival.priority) >= state.limits.queueLimit -> Refusal.OVERLOADED

        state.routes.pools[route.pool]
            ?.backendServers
            .isNullOrEmpty() -> Refusal.NO_BACKEND_SERVER

        else -> null
    }

private fun RequestState.waitingCountOf(priority: RoutePriority): Int =
    queues.entries.sumOf { (key, queue) -> if (key.priority == priority) queue.size else 0 }

/** Replies that the request was not run, and records an explanation. */
internal fun replyNotRun(
    arrival: RequestArrival,
    refusal: Refusal,
    step: String,
    peer: String = "",
): List<RequestEffect> =
    listOf(
        RequestEffect.Reply(
            arrival.request,
            RequestReply.NotRun(refusal, retryAfterMilliseconds(refusal), step, peer),
        ),
        explain(arrival, step, peer, "Not run: $refusal."),
    )

/** Replies that the request may have run, and records an explanation. */
internal fun replyMayHaveRun(
    arrival: RequestArrival,
    reason: String,
    step: String,
    peer: String,
): List<RequestEffect> =
    listOf(
        RequestEffect.Reply(arrival.request, RequestReply.MayHaveRun(reason, step, peer)),
        explain(arrival, step, peer, "May have run: $reason"),
    )

internal fun explain(
    arrival: RequestArrival,
    step: String,
    peer: String,
    reason: String,
): RequestEffect = RequestEffect.Explain(arrival.request, arrival.requestId, arrival.team, step, peer, reason)

private fun retryAfterMilliseconds(refusal: Refusal): Long =
    when (refusal) {
        Refusal.UNKNOWN_ROUTE, Refusal.KEY_WITHDRAWN, Refusal.ISOLATED -> 0
        Refusal.LEAVING -> RETRY_AT_ANOTHER_INSTANCE_MILLISECONDS
        else -> DEFAULT_RETRY_MILLISECONDS
    }

/** Retry delay when another instance can accept the request at once. */
private const val RETRY_AT_ANOTHER_INSTANCE_MILLISECONDS = 100L

/** Retry delay for overload and other temporary conditions. */
private const val DEFAULT_RETRY_MILLISECONDS = 1_000L
