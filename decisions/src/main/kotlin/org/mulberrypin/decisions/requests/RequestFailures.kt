/**
 * Attempts that end without a whole answer: what is retried, what is resumed, and what the caller is told. An attempt
 * is repeated only if the request may be repeated or certainly did not run, and only within the retry budget.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun endAttempt(
    book: RequestBook,
    event: RequestEvent.AttemptBroke,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.current(event.request, event.attempt) ?: return Transition(book)
    return noteFailure(book, entry, event.ending, nowMilliseconds)
        .andThen { retryOrGiveUp(it, entry, event.ending, event.detail, nowMilliseconds) }
}

private fun noteFailure(
    book: RequestBook,
    entry: RequestEntry,
    ending: AttemptEnding,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val noted =
        if (ending == AttemptEnding.REFUSED) {
            book
        } else {
            book.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
        }
    return if (ending == AttemptEnding.CUT) noteCut(noted, entry, nowMilliseconds) else Transition(noted)
}

internal fun retryOrGiveUp(
    book: RequestBook,
    entry: RequestEntry,
    ending: AttemptEnding,
    detail: String,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val ran = entry.ranBefore || ending == AttemptEnding.CUT || ending == AttemptEnding.FAILED
    val retried = entry.copy(ranBefore = ran, avoided = entry.avoided + entry.server)
    val budget = book.budget.spend()
    if (budget == null || !mayRepeat(book, retried, nowMilliseconds)) {
        return endUnanswered(book, entry, ran, detail, nowMilliseconds)
    }
    val next = book.released(entry).enqueued(retried, nowMilliseconds).copy(budget = budget)
    val reason = "Attempt ${entry.attempt} ended: $ending, $detail Trying again."
    return Transition(next, listOf(explain(entry.arrival, "retry", entry.server, reason)))
}

private fun mayRepeat(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Boolean =
    (entry.arrival.repeatable || !entry.ranBefore) &&
        entry.attempt < book.limits.attempts &&
        nowMilliseconds < entry.arrival.deadlineMilliseconds &&
        !book.crashes.isolates(entry.arrival.contentDigest, book.limits.crashes)

/** Ends a request without a whole answer, saying truthfully whether it may have run. */
internal fun endUnanswered(
    book: RequestBook,
    entry: RequestEntry,
    ran: Boolean,
    detail: String,
    nowMilliseconds: Long,
    refusal: Refusal = Refusal.NO_BACKEND_SERVER,
): Transition<RequestBook, RequestEffect> {
    val isolated = book.crashes.isolates(entry.arrival.contentDigest, book.limits.crashes)
    val reason = if (isolated) "The content crashed backend servers and is isolated. $detail" else detail
    val told =
        if (ran) {
            giveUp(entry.arrival, reason, step = "backend server", peer = entry.server)
        } else {
            refuse(entry.arrival, refusal, step = "backend server", peer = entry.server)
        }
    return Transition(book.forgotten(entry), told + objective(book, entry, nowMilliseconds, answered = false))
}
