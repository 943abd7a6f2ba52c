/**
 * At-most-once execution of non-repeatable requests. A record is written before the request is sent to a backend
 * server; conditional writes in the table service allow only one of several attempts with the same idempotency key to
 * write it. Records are batched, with at most [MAX_COMMITS_PER_SECOND] commits per second and instance.
 */
package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.AttemptRecord
import org.mulberrypin.schema.generated.AttemptState

/** New state and side effects of an attempt decision. */
public typealias AttemptTransition = Transition<AttemptsState, AttemptEffect>

/** Applies [event] at [nowMilliseconds] by the clock of this process. */
public fun decideAttempts(
    state: AttemptsState,
    event: AttemptEvent,
    nowMilliseconds: Long,
): AttemptTransition {
    val transition = when (event) {
        is AttemptEvent.Tick -> handleTick(expireCommit(state, nowMilliseconds), event, nowMilliseconds)

        is AttemptEvent.AttemptRequested -> beginAttempt(state, event, nowMilliseconds)

        is AttemptEvent.Finished -> finishAttempt(state, event.completion)

        is AttemptEvent.Committed -> completeCommit(state, event.number, nowMilliseconds) { current, write ->
            handleWritten(current, write, write.conditions.getValue(write.target) + 1)
        }

        is AttemptEvent.Conflicted -> completeCommit(state, event.number, nowMilliseconds) { current, write ->
            resolveConflict(current, write, event.rows)
        }

        is AttemptEvent.CommitFailed -> failCommit(state, event.number, event.mayHaveCommitted, nowMilliseconds)
    }
    return startCommit(transition, nowMilliseconds)
}

private fun failCommit(
    state: AttemptsState,
    number: Long,
    mayHaveCommitted: Boolean,
    nowMilliseconds: Long,
): AttemptTransition =
    completeCommit(state, number, nowMilliseconds + COMMIT_BACKOFF_MILLISECONDS) { current, write ->
        AttemptTransition(requeue(current, write.copy(mayHaveCommitted = write.mayHaveCommitted || mayHaveCommitted)))
    }

/** Fails a commit whose result was not reported in time; it may still take effect. */
private fun expireCommit(
    state: AttemptsState,
    nowMilliseconds: Long,
): AttemptsState {
    val expired = nowMilliseconds - state.commitStartedMilliseconds >= COMMIT_EXPIRY_MILLISECONDS
    return if (expired) failCommit(state, state.commitNumber, mayHaveCommitted = true, nowMilliseconds).state else state
}

private fun beginAttempt(
    state: AttemptsState,
    event: AttemptEvent.AttemptRequested,
    nowMilliseconds: Long,
): AttemptTransition {
    val request = event.attempt.request
    if (state.queued.size >= MAX_QUEUED_RECORDS || state.running.size >= MAX_RUNNING_ATTEMPTS) {
        return AttemptTransition(state, listOf(AttemptEffect.ReportOutcome(request, AttemptOutcome.RecordUnavailable)))
    }
    val keys = attemptKeys(event.name, event.wallMilliseconds)
    val write = RecordWrite(
        request = request,
        conditions = keys.associateWith { 0L }.toPersistentMap(),
        target = keys.first(),
        record = AttemptRecord(
            name = event.name,
            team = event.attempt.team,
            contentSha256 = event.attempt.contentSha256,
            instance = "${state.instance}/$request",
        ),
        deadlineMilliseconds = nowMilliseconds + RECORD_TIMEOUT_MILLISECONDS,
    )
    return AttemptTransition(state.copy(queued = state.queued.add(write)))
}

private fun finishAttempt(
    state: AttemptsState,
    completion: AttemptCompletion,
): AttemptTransition {
    val row = state.running[completion.request] ?: return AttemptTransition(state)
    val ended = state.copy(running = state.running.remove(completion.request))
    return AttemptTransition(
        if (ended.queued.size < MAX_QUEUED_RECORDS) enqueueFinalWrite(ended, completion, row) else ended,
    )
}

private fun enqueueFinalWrite(
    state: AttemptsState,
    completion: AttemptCompletion,
    row: AttemptRow,
): AttemptsState {
    val record = when (val result = completion.result) {
        is AttemptResult.NotRun -> {
            row.record.copy(state = AttemptState.NOT_RUN)
        }

        is AttemptResult.Answered -> {
            val stored = result.body?.takeIf { it.length <= MAX_BODY_CHARACTERS }
            row.record.copy(
                state = AttemptState.ANSWERED,
                status = result.status,
                body = stored.orEmpty(),
                contentType = result.contentType,
                bodyDropped = stored == null,
            )
        }
    }
    return state.copy(queued = state.queued.add(finalWrite(completion.request, row, record)))
}

internal fun finalWrite(
    request: Long,
    row: AttemptRow,
    record: AttemptRecord,
): RecordWrite =
    RecordWrite(
        request = request,
        conditions = mapOf(row.key to row.version).toPersistentMap(),
        target = row.key,
        record = record,
        deadlineMilliseconds = Long.MAX_VALUE,
    )

/** Completes the commit in progress if it has [number], and applies [handleRecord] to each of its records in order. */
private fun completeCommit(
    state: AttemptsState,
    number: Long,
    nextCommitMilliseconds: Long,
    handleRecord: (AttemptsState, RecordWrite) -> AttemptTransition,
): AttemptTransition {
    if (number != state.commitNumber || state.committing.isEmpty()) return AttemptTransition(state)
    val waitMilliseconds = MILLISECONDS_PER_SECOND / MAX_COMMITS_PER_SECOND
    val completed = state.copy(
        committing = persistentListOf(),
        nextCommitMilliseconds = nextCommitMilliseconds + waitMilliseconds,
    )
    return state.committing.fold(AttemptTransition(completed)) { transition, write ->
        val following = handleRecord(transition.state, write)
        AttemptTransition(following.state, transition.effects + following.effects)
    }
}

private fun handleTick(
    state: AttemptsState,
    event: AttemptEvent.Tick,
    nowMilliseconds: Long,
): AttemptTransition {
    val timedOut = { write: RecordWrite ->
        write.isNewAttempt && !write.refused && nowMilliseconds >= write.deadlineMilliseconds
    }
    val refusals = (state.queued + state.committing).filter(timedOut).map {
        AttemptEffect.ReportOutcome(it.request, AttemptOutcome.RecordUnavailable)
    }
    val queued = state.queued.mapNotNull { write ->
        when {
            !timedOut(write) -> write
            write.mayHaveCommitted -> asNotRun(write)
            else -> null
        }
    }
    val committing = state.committing.map { if (timedOut(it)) it.copy(refused = true) else it }
    val next = state.copy(queued = queued.toPersistentList(), committing = committing.toPersistentList())
    if (nowMilliseconds < state.nextCleanupMilliseconds) return AttemptTransition(next, refusals)
    val cleanup = AttemptEffect.DeleteExpired(expiredPrefix(event.wallMilliseconds, event.seed))
    return AttemptTransition(
        next.copy(nextCleanupMilliseconds = nowMilliseconds + CLEANUP_INTERVAL_MILLISECONDS),
        refusals + cleanup,
    )
}

/** Starts the next commit unless one is in progress; a commit has at most one record for each idempotency key. */
private fun startCommit(
    transition: AttemptTransition,
    nowMilliseconds: Long,
): AttemptTransition {
    val state = transition.state
    val mustWait = state.committing.isNotEmpty() || nowMilliseconds < state.nextCommitMilliseconds
    if (mustWait || state.queued.isEmpty()) return transition
    val batch = state.queued.distinctBy { it.record.name }.take(MAX_BATCH_RECORDS)
    val chosen = batch.toHashSet()
    val next = state.copy(
        queued = state.queued.filter { it !in chosen }.toPersistentList(),
        committing = batch.toPersistentList(),
        commitNumber = state.commitNumber + 1,
        commitStartedMilliseconds = nowMilliseconds,
    )
    return AttemptTransition(next, transition.effects + AttemptEffect.Commit(next.commitNumber, batch))
}

/** Maximum number of commits per second of an instance. */
public const val MAX_COMMITS_PER_SECOND: Long = 4

/** Maximum number of records in a commit. */
public const val MAX_BATCH_RECORDS: Int = 64

/** Maximum length in characters of a response body that is stored. */
public const val MAX_BODY_CHARACTERS: Int = 16_384

/** Time in milliseconds after which a request is refused if its record is not written. */
public const val RECORD_TIMEOUT_MILLISECONDS: Long = 3_000

private const val MILLISECONDS_PER_SECOND = 1_000L
private const val COMMIT_BACKOFF_MILLISECONDS = 750L
private const val COMMIT_EXPIRY_MILLISECONDS = 10_000L
private const val CLEANUP_INTERVAL_MILLISECONDS = 60_000L
