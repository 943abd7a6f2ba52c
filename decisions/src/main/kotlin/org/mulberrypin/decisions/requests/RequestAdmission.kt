/** Admission of requests: what is refused at once, and why. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RoutePriority

internal fun arrive(
    book: RequestBook,
    arrival: RequestArrival,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val route = book.routes.route(arrival.route)
    val refusal = refusalOf(book, route, arrival)
    if (route == null || refusal != null) {
        return Transition(book, refuse(arrival, refusal ?: Refusal.UNKNOWN_ROUTE, step = "admission"))
    }
    val entry =
        RequestEntry(
            arrival = arrival,
            pool = route.pool,
            attempt = 0,
            server = "",
            arrivedMilliseconds = nowMilliseconds,
            changedMilliseconds = nowMilliseconds,
        )
    return Transition(book.enqueued(entry, nowMilliseconds))
}

private fun refusalOf(
    book: RequestBook,
    route: Route?,
    arrival: RequestArrival,
): Refusal? =
    when {
        book.draining -> Refusal.LEAVING

        !book.certain -> Refusal.CONFIGURATION_UNCERTAIN

        route == null || !book.routes.admits(route, arrival) -> Refusal.UNKNOWN_ROUTE

        book.crashes.isolates(arrival.contentDigest, book.limits.crashes) -> Refusal.ISOLATED

        book.waitingWith(arrival.priority) >= book.limits.waiting -> Refusal.OVERLOADED

        book.routes.pools[route.pool]
            ?.backendServers
            .isNullOrEmpty() -> Refusal.NO_BACKEND_SERVER

        else -> null
    }

private fun RequestBook.waitingWith(priority: RoutePriority): Int =
    queues.entries.sumOf { (key, queue) -> if (key.priority == priority) queue.size else 0 }

/** Tells the caller that its request was not run, and records why. */
internal fun refuse(
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

/** Tells the caller that its request may have run, and records why. */
internal fun giveUp(
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
): RequestEffect = RequestEffect.Explain(arrival.request, arrival.name, arrival.team, step, peer, reason)

private fun retryAfterMilliseconds(refusal: Refusal): Long =
    when (refusal) {
        Refusal.UNKNOWN_ROUTE, Refusal.KEY_WITHDRAWN, Refusal.ISOLATED -> 0
        Refusal.LEAVING -> RETRY_AT_ANOTHER_INSTANCE_MILLISECONDS
        else -> RETRY_LATER_MILLISECONDS
    }

/** Wait before asking another instance, in milliseconds. */
private const val RETRY_AT_ANOTHER_INSTANCE_MILLISECONDS = 100L

/** Wait before asking again after a shortage, in milliseconds. */
private const val RETRY_LATER_MILLISECONDS = 1_000L
