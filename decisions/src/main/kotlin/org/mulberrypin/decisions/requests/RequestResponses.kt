/** Handles response chunks, completed responses and disconnected callers. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition

internal fun handlePart(
    book: RequestBook,
    event: RequestEvent.PartArrived,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.activeEntry(event.request, event.attempt) ?: return Transition(book)
    val waitedMilliseconds = nowMilliseconds - entry.lastActivityMilliseconds
    val isFirstPart = entry.firstPartMilliseconds == RequestEntry.NO_PART_YET
    val updatedEntry =
        entry.copy(
            spans = entry.spans.extendedBy(event.part.weightVersion, event.part.tokens.toLong()),
            lastActivityMilliseconds = nowMilliseconds,
            firstPartMilliseconds =
                if (isFirstPart) nowMilliseconds - entry.arrivedMilliseconds else entry.firstPartMilliseconds,
        )
    val measuredBook =
        if (isFirstPart) book.withServer(entry.server) { it.withFirstPartLatency(waitedMilliseconds) } else book
    return Transition(
        measuredBook.copy(entries = measuredBook.entries.put(event.request, updatedEntry)),
        listOf(RequestEffect.Reply(event.request, event.part)),
    )
}

/** Completes a request: replies, counts its usage, and corrects the tokens charged to its team. */
internal fun completeRequest(
    book: RequestBook,
    event: RequestEvent.AttemptFinished,
    nowMilliseconds: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.activeEntry(event.request, event.attempt) ?: return Transition(book)
    val arrival = entry.arrival
    val usedTokens = event.promptTokens + entry.generatedTokens
    val freed = book.removed(entry).withServer(entry.server) { it.copy(breaker = it.breaker.afterSuccess()) }
    val next =
        freed.copy(
            crashes = freed.crashes.withoutContent(arrival.contentDigest),
            shares =
                freed.shares.corrected(
                    arrival.team,
                    usedTokens - arrival.expectedTokens,
                    book.weightOf(arrival.team),
                ),
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
            objectiveResult(book, entry, nowMilliseconds, completed = true),
        )
    return Transition(next, effects)
}

/**
 * Cancels the request of a caller that disconnected. A non-repeatable request that is in flight continues, so that
 * its result can be recorded.
 */
internal fun handleCallerLeft(
    book: RequestBook,
    request: Long,
): Transition<RequestBook, RequestEffect> {
    val entry = book.entries[request]
    return when {
        entry == null -> Transition(book)
        entry.isWaiting -> Transition(book.removed(entry))
        !entry.arrival.repeatable -> Transition(book)
        else -> Transition(book.removed(entry), listOf(RequestEffect.CancelAttempt(request, entry.attempt)))
    }
}

/** Returns the entry of a request if [attempt] is in flight; null for events of earlier attempts. */
internal fun RequestBook.activeEntry(
    request: Long,
    attempt: Int,
): RequestEntry? = entries[request]?.takeIf { it.attempt == attempt && !it.isWaiting }

/** Evaluates a request against its team's latency objective; without a latency target only completion counts. */
internal fun objectiveResult(
    book: RequestBook,
    entry: RequestEntry,
    nowMilliseconds: Long,
    completed: Boolean,
): RequestEffect {
    val targetMilliseconds = book.routes.teams[entry.arrival.team]?.targetMilliseconds ?: 0
    val hasPart = entry.firstPartMilliseconds != RequestEntry.NO_PART_YET
    val latencyMilliseconds =
        if (hasPart) entry.firstPartMilliseconds else nowMilliseconds - entry.arrivedMilliseconds
    val withinTarget = targetMilliseconds == 0L || latencyMilliseconds <= targetMilliseconds
    return RequestEffect.RecordObjective(
        entry.arrival.team,
        entry.arrival.route,
        completed && withinTarget,
        latencyMilliseconds,
    )
}

private fun ServerState.withFirstPartLatency(milliseconds: Long): ServerState =
    copy(
        averageFirstPartMilliseconds =
            averageFirstPartMilliseconds + (milliseconds - averageFirstPartMilliseconds) * MOVING_AVERAGE_WEIGHT,
    )

/** Weight of the latest sample in the exponential moving average. */
private const val MOVING_AVERAGE_WEIGHT = 0.1
