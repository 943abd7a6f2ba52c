/** Answers of backend servers that go well, and callers that leave. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition

internal fun continueAnswer(
    book: RequestBook,
    event: RequestEvent.PartArrived,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.current(event.request, event.attempt) ?: return Transition(book)
    val waitedMilliseconds = nowMilliseconds - entry.changedMilliseconds
    val isFirst = entry.firstPartMilliseconds == RequestEntry.NO_PART_YET
    val continued =
        entry.copy(
            spans = entry.spans.extendedBy(event.part.weightVersion, event.part.tokens.toLong()),
            changedMilliseconds = nowMilliseconds,
            firstPartMilliseconds =
                if (isFirst) nowMilliseconds - entry.arrivedMilliseconds else entry.firstPartMilliseconds,
        )
    val measured =
        if (isFirst) book.withServer(entry.server) { it.withFirstPart(waitedMilliseconds) } else book
    return Transition(
        measured.copy(entries = measured.entries.put(event.request, continued)),
        listOf(RequestEffect.Reply(event.request, event.part)),
    )
}

internal fun finish(
    book: RequestBook,
    event: RequestEvent.AttemptFinished,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.current(event.request, event.attempt) ?: return Transition(book)
    val arrival = entry.arrival
    val used = event.promptTokens + entry.generatedTokens
    val freed = book.forgotten(entry).withServer(entry.server) { it.copy(breaker = it.breaker.afterSuccess()) }
    val next =
        freed.copy(
            crashes = freed.crashes.cleared(arrival.contentDigest),
            shares = freed.shares.corrected(arrival.team, used - arrival.expectedTokens, book.weightOf(arrival.team)),
        )
    val finished = RequestReply.Finished(event.finishReason, event.promptTokens, entry.spans, entry.server)
    val effects =
        listOf(
            RequestEffect.RecordUsage(
                arrival.request,
                arrival.team,
                arrival.route,
                event.promptTokens,
                entry.generatedTokens,
            ),
            RequestEffect.Reply(arrival.request, finished),
            objective(book, entry, nowMilliseconds, answered = true),
        )
    return Transition(next, effects)
}

/** The caller has gone: its request is cancelled, unless it must not be repeated and its result shall be recorded. */
internal fun abandon(
    book: RequestBook,
    request: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.entries[request]
    return when {
        entry == null -> Transition(book)
        entry.waits -> Transition(book.forgotten(entry))
        !entry.arrival.repeatable -> Transition(book)
        else -> Transition(book.forgotten(entry), listOf(RequestEffect.CancelAttempt(request, entry.attempt)))
    }
}

/** The entry of a request while the numbered attempt is the one under way. */
internal fun RequestBook.current(
    request: Long,
    attempt: Int,
): RequestEntry? = entries[request]?.takeIf { it.attempt == attempt && !it.waits }

/** Measures a request against its team's latency target; a team without a target counts answers only. */
internal fun objective(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
    answered: Boolean,
): RequestEffect {
    val targetMilliseconds = book.routes.teams[entry.arrival.team]?.targetMilliseconds ?: 0
    val hasPart = entry.firstPartMilliseconds != RequestEntry.NO_PART_YET
    val tookMilliseconds =
        if (hasPart) entry.firstPartMilliseconds else nowMilliseconds - entry.arrivedMilliseconds
    val inTime = targetMilliseconds == 0L || tookMilliseconds <= targetMilliseconds
    return RequestEffect.RecordObjective(
        entry.arrival.team,
        entry.arrival.route,
        answered && inTime,
        tookMilliseconds,
    )
}

private fun ServerState.withFirstPart(milliseconds: Long): ServerState =
    copy(partMilliseconds = partMilliseconds + (milliseconds - partMilliseconds) * AVERAGE_WEIGHT)

/** Weight of the latest time in the moving average. */
private const val AVERAGE_WEIGHT = 0.1
