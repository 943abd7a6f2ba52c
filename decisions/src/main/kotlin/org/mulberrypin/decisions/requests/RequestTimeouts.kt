/** What the passing of time does: waits and answers that take too long end, and isolated contents are released. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun passTime(
    book: RequestBook,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val crashes = book.crashes.released(nowMilliseconds, book.limits.isolationMilliseconds)
    val start = Transition<RequestBook, RequestEffect>(book.copy(crashes = crashes))
    return book.entries.values.fold(start) { result, entry ->
        when (lapseOf(book, entry, nowMilliseconds)) {
            Lapse.NONE -> result
            Lapse.WAIT -> result.andThen { endWait(it, entry, nowMilliseconds) }
            Lapse.ANSWER -> result.andThen { endSilence(it, entry, nowMilliseconds) }
            Lapse.DEADLINE -> result.andThen { endAtDeadline(it, entry, nowMilliseconds) }
        }
    }
}

private enum class Lapse { NONE, WAIT, ANSWER, DEADLINE }

private fun lapseOf(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Lapse {
    val silentMilliseconds = nowMilliseconds - entry.changedMilliseconds
    val hasPart = entry.firstPartMilliseconds != RequestEntry.NO_PART_YET
    val longestMilliseconds = if (hasPart) book.limits.idleMilliseconds else book.limits.firstPartMilliseconds
    return when {
        nowMilliseconds >= entry.arrival.deadlineMilliseconds -> Lapse.DEADLINE
        entry.waits && silentMilliseconds >= book.limits.waitMilliseconds -> Lapse.WAIT
        !entry.waits && silentMilliseconds >= longestMilliseconds -> Lapse.ANSWER
        else -> Lapse.NONE
    }
}

private fun endWait(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> =
    endUnanswered(
        book,
        entry,
        entry.ranBefore,
        "No backend server had room within ${book.limits.waitMilliseconds} ms.",
        nowMilliseconds,
        Refusal.WAITED_TOO_LONG,
    )

private fun endSilence(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val noted = book.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
    val cancel = RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt)
    return Transition(noted, listOf<RequestEffect>(cancel))
        .andThen { retryOrGiveUp(it, entry, AttemptEnding.FAILED, "The answer paused too long.", nowMilliseconds) }
}

private fun endAtDeadline(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val cancels =
        if (entry.waits) emptyList() else listOf(RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt))
    return Transition<RequestBook, RequestEffect>(book, cancels).andThen {
        val ran = entry.ranBefore || !entry.waits
        endUnanswered(it, entry, ran, "The deadline has passed.", nowMilliseconds, Refusal.WAITED_TOO_LONG)
    }
}
