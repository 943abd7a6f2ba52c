/**
 * The decisions of the duty that carries requests: admission, the choice of a backend server, retries and resumption,
 * and what each caller is told. A request that is refused as not run never reached a backend server.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Decision
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

/** The decision of a request duty that follows [policies]. */
public fun requestDecision(policies: RequestPolicies): Decision<RequestBook, RequestEvent, RequestEffect> =
    { book, event, nowMilliseconds ->
        decide(book, event, nowMilliseconds)
            .andThen { if (event.canFreeRoom()) dispatchWaiting(it, policies, nowMilliseconds) else Transition(it) }
    }

private fun RequestEvent.canFreeRoom(): Boolean = this !is RequestEvent.PartArrived

private fun decide(
    book: RequestBook,
    event: RequestEvent,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> =
    when (event) {
        is RequestEvent.Arrived -> arrive(book, event.arrival, nowMilliseconds)
        is RequestEvent.CallerLeft -> abandon(book, event.request)
        is RequestEvent.PartArrived -> continueAnswer(book, event, nowMilliseconds)
        is RequestEvent.AttemptFinished -> finish(book, event, nowMilliseconds)
        is RequestEvent.AttemptBroke -> endAttempt(book, event, nowMilliseconds)
        is RequestEvent.LoadReported -> Transition(book.withLoad(event, nowMilliseconds))
        is RequestEvent.LoadMissing -> Transition(book.withoutLoad(event.server))
        is RequestEvent.CrashReported -> Transition(book.withCrashOf(event, nowMilliseconds))
        is RequestEvent.ConfigurationChanged -> adopt(book, event.configuration)
        is RequestEvent.InstancesChanged -> Transition(book.copy(instances = event.count.coerceAtLeast(1)))
        is RequestEvent.CertaintyChanged -> Transition(book.copy(certain = event.certain))
        RequestEvent.DrainStarted -> Transition(book.copy(draining = true))
        RequestEvent.Ticked -> passTime(book, nowMilliseconds)
    }

private fun RequestBook.withLoad(
    event: RequestEvent.LoadReported,
    nowMilliseconds: Long,
): RequestBook =
    withServer(event.server) {
        it.copy(load = event.load, loadMilliseconds = nowMilliseconds, runningAtLoad = it.running)
    }

private fun RequestBook.withoutLoad(server: String): RequestBook =
    withServer(server) { it.copy(load = null) }

private fun RequestBook.withCrashOf(
    event: RequestEvent.CrashReported,
    nowMilliseconds: Long,
): RequestBook = copy(crashes = crashes.withCrash(event.contentDigest, event.server, nowMilliseconds))
