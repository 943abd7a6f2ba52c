/**
 * Entry point of the request decisions: admission, dispatch to backend servers, retry and resumption, and replies to
 * callers. A request for which [RequestReply.NotRun] is sent certainly did not run on any backend server.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Decision
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

/** Returns the decision function of the request duty, which schedules requests according to [policies]. */
public fun requestDecision(policies: RequestPolicies): Decision<RequestBook, RequestEvent, RequestEffect> =
    { book, event, nowMilliseconds ->
        decide(book, event, nowMilliseconds)
            .andThen { if (event.mayFreeCapacity()) dispatchWaiting(it, policies, nowMilliseconds) else Transition(it) }
    }

private fun RequestEvent.mayFreeCapacity(): Boolean = this !is RequestEvent.PartArrived

private fun decide(
    book: RequestBook,
    event: RequestEvent,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> =
    when (event) {
        is RequestEvent.Arrived -> admit(book, event.arrival, nowMilliseconds)
        is RequestEvent.CallerLeft -> handleCallerLeft(book, event.request)
        is RequestEvent.PartArrived -> handlePart(book, event, nowMilliseconds)
        is RequestEvent.AttemptFinished -> completeRequest(book, event, nowMilliseconds)
        is RequestEvent.AttemptBroke -> handleAttemptBroke(book, event, nowMilliseconds)
        is RequestEvent.LoadReported -> Transition(book.withLoad(event, nowMilliseconds))
        is RequestEvent.LoadMissing -> Transition(book.withoutLoad(event.server))
        is RequestEvent.CrashReported -> Transition(book.withReportedCrash(event, nowMilliseconds))
        is RequestEvent.ConfigurationChanged -> applyConfiguration(book, event.configuration)
        is RequestEvent.InstancesChanged -> Transition(book.copy(instances = event.count.coerceAtLeast(1)))
        is RequestEvent.CertaintyChanged -> Transition(book.copy(certain = event.certain))
        RequestEvent.DrainStarted -> Transition(book.copy(draining = true))
        RequestEvent.Ticked -> handleTick(book, nowMilliseconds)
    }

private fun RequestBook.withLoad(
    event: RequestEvent.LoadReported,
    nowMilliseconds: Long,
): RequestBook =
    withServer(event.server) {
        it.copy(load = event.load, reportedMilliseconds = nowMilliseconds, runningAtReport = it.running)
    }

private fun RequestBook.withoutLoad(server: String): RequestBook =
    withServer(server) { it.copy(load = null) }

private fun RequestBook.withReportedCrash(
    event: RequestEvent.CrashReported,
    nowMilliseconds: Long,
): RequestBook = copy(crashes = crashes.withCrash(event.contentDigest, event.server, nowMilliseconds))
