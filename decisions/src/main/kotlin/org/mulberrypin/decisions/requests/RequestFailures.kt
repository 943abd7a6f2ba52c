/**
 * Handles attempts that end without a complete response. A request is retried, or resumed after its last token, only if
 * it is repeatable or certainly did not run, and only within the retry budget; otherwise it fails.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun handleAttemptFailed(
    state: RequestState,
    event: RequestEvent.AttemptFailed,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val entry = state.activeEntry(event.request, event.attempt) ?: return Transition(state)
    return recordFailure(state, entry, event.ending, nowMilliseconds)
        .andThen { retryOrFail(it, entry, event.ending, event.detail, nowMilliseconds) }
}

private fun recordFailure(
    state: RequestState,
    entry: RequestEntry,
    ending: AttemptEnding,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val updated =
        if (ending == AttemptEnding.REFUSED) {
            state
        } else {
            state.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
        }
    return if (ending == AttemptEnding.CUT) recordDisconnect(updated, entry, nowMilliseconds) else Transition(updated)
}

internal fun retryOrFail(
    state: RequestState,
    entry: RequestEntry,
    ending: AttemptEnding,
    detail: String,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val mayHaveRun = entry.earlierAttemptMayHaveRun || ending == AttemptEnding.CUT || ending == AttemptEnding.FAILED
    val retried = entry.copy(earlierAttemptMayHaveRun = mayHaveRun, failedServers = entry.failedServers + entry.server)
    val budget = state.budget.tryWithdraw()
    if (budget == null || !mayRetry(state, retried, nowMilliseconds)) {
        return failRequest(state, entry, mayHaveRun, detail, nowMilliseconds)
    }
    val next = state.withSlotReleased(entry).enqueued(retried, nowMilliseconds).copy(budget = budget)
    val reason = "Attempt ${entry.attempt} failed: $ending, $detail Retrying."
    return Transition(next, listOf(explain(entry.arrival, "retry", entry.server, reason)))
}

private fun mayRetry(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    (entry.arrival.repeatable || !entry.earlierAttemptMayHaveRun) &&
        entry.attempt < state.limits.attemptLimit &&
        nowMilliseconds < entry.arrival.deadlineMilliseconds &&
        !state.crashes.isIsolated(entry.arrival.contentDigest, state.limits.crashLimit)

/** Fails a request; the reply distinguishes requests that may have run from those that certainly did not. */
internal fun failRequest(
    state: RequestState,
    entry: RequestEntry,
    mayHaveRun: Boolean,
    detail: String,
    nowMilliseconds: Long,
    refusal: Refusal = Refusal.NO_BACKEND_SERVER,
): Transition<RequestState, RequestEffect> {
    val isolated = state.crashes.isIsolated(entry.arrival.contentDigest, state.limits.crashLimit)
    val reason = if (isolated) "The request content crashed backend servers and is isolated. $detail" else detail
    val reply =
        if (mayHaveRun) {
            replyMayHaveRun(entry.arrival, reason, step = "backend server", peer = entry.server)
        } else {
            replyNotRun(entry.arrival, refusal, step = "backend server", peer = entry.server)
        }
    return Transition(state.removed(entry), reply + objectiveResult(state, entry, nowMilliseconds, completed = false))
}
