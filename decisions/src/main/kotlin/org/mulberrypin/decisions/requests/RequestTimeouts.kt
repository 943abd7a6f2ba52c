/** Enforces queue, response and deadline timeouts, and ends the isolation of request content. */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

internal fun handleTick(
    state: RequestState,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val crashes = state.crashes.withoutExpired(nowMilliseconds, state.limits.isolationMilliseconds)
    val start = Transition<RequestState, RequestEffect>(state.copy(crashes = crashes))
    return state.entries.values.fold(start) { result, entry ->
        when (timeoutOf(state, entry, nowMilliseconds)) {
            TimeoutKind.NONE -> result
            TimeoutKind.QUEUE -> result.andThen { failQueuedRequest(it, entry, nowMilliseconds) }
            TimeoutKind.RESPONSE -> result.andThen { handleStalledResponse(it, entry, nowMilliseconds) }
            TimeoutKind.DEADLINE -> result.andThen { failAtDeadline(it, entry, nowMilliseconds) }
        }
    }
}

private enum class TimeoutKind { NONE, QUEUE, RESPONSE, DEADLINE }

private fun timeoutOf(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): TimeoutKind {
    val inactiveMilliseconds = nowMilliseconds - entry.lastActivityMilliseconds
    val hasChunk = entry.firstChunkMilliseconds != RequestEntry.NO_CHUNK_YET
    val limitMilliseconds =
        if (hasChunk) state.limits.idleTimeoutMilliseconds else state.limits.firstChunkTimeoutMilliseconds
    return when {
        nowMilliseconds >= entry.arrival.deadlineMilliseconds -> TimeoutKind.DEADLINE
        entry.isWaiting && inactiveMilliseconds >= state.limits.queueTimeoutMilliseconds -> TimeoutKind.QUEUE
        !entry.isWaiting && inactiveMilliseconds >= limitMilliseconds -> TimeoutKind.RESPONSE
        else -> TimeoutKind.NONE
    }
}

private fun failQueuedRequest(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> =
    failRequest(
        state,
        entry,
        entry.earlierAttemptMayHaveRun,
        "No backend server had a free slot within ${state.limits.queueTimeoutMilliseconds} ms.",
        nowMilliseconds,
        Refusal.WAITED_TOO_LONG,
    )

private fun handleStalledResponse(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val updated = state.withServer(entry.server) { it.copy(breaker = it.breaker.afterFailure(nowMilliseconds)) }
    val cancel = RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt)
    return Transition(updated, listOf<RequestEffect>(cancel))
        .andThen { retryOrFail(it, entry, AttemptEnding.FAILED, "The response timed out.", nowMilliseconds) }
}

private fun failAtDeadline(
    state: RequestState,
    entry: RequestEntry,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> {
    val cancels =
        if (entry.isWaiting) emptyList() else listOf(RequestEffect.CancelAttempt(entry.arrival.request, entry.attempt))
    return Transition<RequestState, RequestEffect>(state, cancels).andThen {
        val mayHaveRun = entry.earlierAttemptMayHaveRun || !entry.isWaiting
        failRequest(it, entry, mayHaveRun, "The request deadline passed.", nowMilliseconds, Refusal.WAITED_TOO_LONG)
    }
}
