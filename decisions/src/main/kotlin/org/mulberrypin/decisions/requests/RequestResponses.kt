/** Handles response chunks, completed responses and disconnected callers. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition

internal fun handleChunk(
    state: RequestState,
    event: RequestEvent.ChunkReceived,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val entry = state.activeEntry(event.request, event.attempt) ?: return Transition(state)
    val waitedMilliseconds = nowMilliseconds - entry.lastActivityMilliseconds
    val isFirstChunk = entry.firstChunkMilliseconds == RequestEntry.NO_CHUNK_YET
    val updatedEntry =
        entry.copy(
            spans = entry.spans.extendedBy(event.chunk.weightVersion, event.chunk.tokens.toLong()),
            lastActivityMilliseconds = nowMilliseconds,
            firstChunkMilliseconds =
                if (isFirstChunk) nowMilliseconds - entry.arrivedMilliseconds else entry.firstChunkMilliseconds,
        )
    val measuredState =
        if (isFirstChunk) state.withServer(entry.server) { it.withFirstChunkLatency(waitedMilliseconds) } else state
    return Transition(
        measuredState.copy(entries = measuredState.entries.put(event.request, updatedEntry)),
        listOf(RequestEffect.Reply(event.request, event.chunk)),
    )
}

/** Completes a request: replies, counts its usage, and corrects the tokens charged to its team. */
internal fun completeRequest(
    state: RequestState,
    event: RequestEvent.AttemptFinished,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val entry = state.activeEntry(event.request, event.attempt) ?: return Transition(state)
    val arrival = entry.arrival
    val usedTokens = event.promptTokens + entry.generatedTokens
    val freed = state.removed(entry).withServer(entry.server) { it.copy(breaker = it.breaker.afterSuccess()) }
    val next =
        freed.copy(
            crashes = freed.crashes.withoutContent(arrival.contentDigest),
            shares =
                freed.shares.corrected(
                    arrival.team,
                    usedTokens - arrival.expectedTokens,
                    state.weightOf(arrival.team),
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
            objectiveResult(state, entry, nowMilliseconds, completed = true),
        )
    return Transition(next, effects)
}

/**
 * Cancels the request of a caller that disconnected. A non-repeatable request that is in flight continues, so that
 * its result can be recorded.
 */
internal fun handleCallerDisconnected(
    state: RequestState,
    request: Long,
): Transition<RequestState, RequestEffect> {
    val entry = state.entries[request]
    return when {
        entry == null -> Transition(state)
        entry.isWaiting -> Transition(state.removed(entry))
        !entry.arrival.repeatable -> Transition(state)
        else -> Transition(state.removed(entry), listOf(RequestEffect.CancelAttempt(request, entry.attempt)))
    }
}

/** Returns the entry of a request if [attempt] is in flight; null for events of earlier attempts. */
internal fun RequestState.activeEntry(
    request: Long,
    attempt: Int,
): RequestEntry? = entries[request]?.takeIf { it.attempt == attempt && !it.isWaiting }

/** Evaluates a request against its team's latency objective; without a latency target only completion counts. */
internal fun objectiveResult(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
    completed: Boolean,
): RequestEffect {
    val targetMilliseconds = state.routes.teams[entry.arrival.team]?.targetMilliseconds ?: 0
    val hasChunk = entry.firstChunkMilliseconds != RequestEntry.NO_CHUNK_YET
    val latencyMilliseconds =
        if (hasChunk) entry.firstChunkMilliseconds else nowMilliseconds - entry.arrivedMilliseconds
    val withinTarget = targetMilliseconds == 0L || latencyMilliseconds <= targetMilliseconds
    return RequestEffect.RecordObjective(
        entry.arrival.team,
        entry.arrival.route,
        completed && withinTarget,
        latencyMilliseconds,
    )
}

private fun ServerState.withFirstChunkLatency(milliseconds: Long): ServerState =
    copy(
        averageFirstChunkMilliseconds =
            averageFirstChunkMilliseconds + (milliseconds - averageFirstChunkMilliseconds) * MOVING_AVERAGE_WEIGHT,
    )

/** Weight of the latest sample in the exponential moving average. */
private const val MOVING_AVERAGE_WEIGHT = 0.1
