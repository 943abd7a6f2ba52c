/**
 * Handles attempts that end without a complete response. A request is retried, or resumed after its last token, only if
 * it is repeatable or certainly did not run, and only within the retry budget; otherwise it fails.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun handleAttemptBroke(
    book: RequestBook,
    event: RequestEvent.AttemptBroke,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.activeEntry(event.request, event.attempt) ?: return Transition(book)
    return recordFailure(book, entry, event.ending, nowMilliseconds)
        .andThen { retryOrFail(it, entry, event.ending, event.detail, nowMilliseconds) }
}

private fun recordFailure(
    book: RequestBook,
    entry: RequestEntry,
    ending: AttemptEnding,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val updated =
        if (ending == AttemptEnding.REFUSED) {
            book
        } else {
            book.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
        }
    return if (ending == AttemptEnding.CUT) recordDisconnect(updated, entry, nowMilliseconds) else Transition(updated)
}

internal fun retryOrFail(
    book: RequestBook,
    entry: RequestEntry,
    ending: AttemptEnding,
    detail: String,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val mayHaveRun = entry.earlierAttemptMayHaveRun || ending == AttemptEnding.CUT || ending == AttemptEnding.FAILED
    val retried = entry.copy(earlierAttemptMayHaveRun = mayHaveRun, failedServers = entry.failedServers + entry.server)
    val budget = book.budget.tryWithdraw()
    if (budget == null || !mayRetry(book, retried, nowMilliseconds)) {
        return failRequest(book, entry, mayHaveRun, detail, nowMilliseconds)
    }
    val next = book.withSlotReleased(entry).enqueued(retried, nowMilliseconds).copy(budget = budget)
    val reason = "Attempt ${entry.attempt} failed: $ending, $detail Retrying."
    return Transition(next, listOf(explain(entry.arrival, "retry", entry.server, reason)))
}

private fun mayRetry(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    (entry.arrival.repeatable || !entry.earlierAttemptMayHaveRun) &&
        entry.attempt < book.limits.attempts &&
        nowMilliseconds < entry.arrival.deadlineMilliseconds &&
        !book.crashes.isIsolated(entry.arrival.contentDigest, book.limits.crashes)

/** Fails a request; the reply distinguishes requests that may have run from those that certainly did not. */
internal fun failRequest(
    book: RequestBook,
    entry: RequestEntry,
    mayHaveRun: Boolean,
    detail: String,
    nowMilliseconds: Long,
    refusal: Refusal = Refusal.NO_BACKEND_SERVER,
): Transition<RequestBook, RequestEffect> {
    val isolated = book.crashes.isIsolated(entry.arrival.contentDigest, book.limits.crashes)
    val reason = if (isolated) "The request content crashed backend servers and is isolated. $detail" else detail
    val reply =
        if (mayHaveRun) {
            replyMayHaveRun(entry.arrival, reason, step = "backend server", peer = entry.server)
        } else {
            replyNotRun(entry.arrival, refusal, step = "backend server", peer = entry.server)
        }
    return Transition(book.removed(entry), reply + objectiveResult(book, entry, nowMilliseconds, completed = false))
}
