/** Enforces queue, response and deadline timeouts, and ends the isolation of request content. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun handleTick(
    book: RequestBook,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val crashes = book.crashes.withoutExpired(nowMilliseconds, book.limits.isolationMilliseconds)
    val start = Transition<RequestBook, RequestEffect>(book.copy(crashes = crashes))
    return book.entries.values.fold(start) { result, entry ->
        when (timeoutOf(book, entry, nowMilliseconds)) {
            TimeoutKind.NONE -> result
            TimeoutKind.QUEUE -> result.andThen { failQueuedRequest(it, entry, nowMilliseconds) }
            TimeoutKind.RESPONSE -> result.andThen { handleStalledResponse(it, entry, nowMilliseconds) }
            TimeoutKind.DEADLINE -> result.andThen { failAtDeadline(it, entry, nowMilliseconds) }
        }
    }
}

private enum class TimeoutKind { NONE, QUEUE, RESPONSE, DEADLINE }

private fun timeoutOf(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): TimeoutKind {
    val inactiveMilliseconds = nowMilliseconds - entry.lastActivityMilliseconds
    val hasPart = entry.firstPartMilliseconds != RequestEntry.NO_PART_YET
    val limitMilliseconds = if (hasPart) book.limits.idleMilliseconds else book.limits.firstPartMilliseconds
    return when {
        nowMilliseconds >= entry.arrival.deadlineMilliseconds -> TimeoutKind.DEADLINE
        entry.isWaiting && inactiveMilliseconds >= book.limits.waitMilliseconds -> TimeoutKind.QUEUE
        !entry.isWaiting && inactiveMilliseconds >= limitMilliseconds -> TimeoutKind.RESPONSE
        else -> TimeoutKind.NONE
    }
}

private fun failQueuedRequest(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> =
    failRequest(
        book,
        entry,
        entry.earlierAttemptMayHaveRun,
        "No backend server had a free slot within ${book.limits.waitMilliseconds} ms.",
        nowMilliseconds,
        Refusal.WAITED_TOO_LONG,
    )

private fun handleStalledResponse(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val updated = book.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
    val cancel = RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt)
    return Transition(updated, listOf<RequestEffect>(cancel))
        .andThen { retryOrFail(it, entry, AttemptEnding.FAILED, "The response timed out.", nowMilliseconds) }
}

private fun failAtDeadline(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val cancels =
        if (entry.isWaiting) emptyList() else listOf(RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt))
    return Transition<RequestBook, RequestEffect>(book, cancels).andThen {
        val mayHaveRun = entry.earlierAttemptMayHaveRun || !entry.isWaiting
        failRequest(it, entry, mayHaveRun, "The request deadline passed.", nowMilliseconds, Refusal.WAITED_TOO_LONG)
    }
}
