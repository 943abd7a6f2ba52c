/**
 * Decides whether a request that must run at most once may run. A record is written before the request is sent
 * anywhere; the table service lets only one of several attempts under the same key write it. Many records share a
 * commit, at most [COMMITS_PER_SECOND] a second for each instance.
 */
package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.AttemptRecord
import org.mulberrypin.schema.generated.AttemptState

/** The outcome of a decision about attempts. */
public typealias AttemptTransition = Transition<AttemptsState, AttemptEffect>

/** Decides [event] at [nowMilliseconds] of the clock of this process. */
public fun decideAttempts(
    state: AttemptsState,
    event: AttemptEvent,
    nowMilliseconds: Long,
): AttemptTransition {
    val transition = when (event) {
        is AttemptEvent.Tick -> handleTick(expireCommit(state, nowMilliseconds), event, nowMilliseconds)

        is AttemptEvent.Begun -> begin(state, event, nowMilliseconds)

        is AttemptEvent.Finished -> finish(state, event.finish)

        is AttemptEvent.Committed -> settle(state, event.number, nowMilliseconds) { current, operation ->
            takeWritten(current, operation, operation.conditions.getValue(operation.target) + 1)
        }

        is AttemptEvent.Conflicted -> settle(state, event.number, nowMilliseconds) { current, operation ->
            resolveConflict(current, operation, event.rows)
        }

        is AttemptEvent.CommitFailed -> failCommit(state, event.number, event.uncertain, nowMilliseconds)
    }
    return startCommit(transition, nowMilliseconds)
}

private fun failCommit(
    state: AttemptsState,
    number: Long,
    uncertain: Boolean,
    nowMilliseconds: Long,
): AttemptTransition =
    settle(state, number, nowMilliseconds + BACKOFF_MILLISECONDS) { current, operation ->
        AttemptTransition(putBack(current, operation.copy(uncertain = operation.uncertain || uncertain)))
    }

/** A commit whose end was never reported may have been carried out. */
private fun expireCommit(
    state: AttemptsState,
    nowMilliseconds: Long,
): AttemptsState {
    val expired = nowMilliseconds - state.commitMilliseconds >= COMMIT_EXPIRY_MILLISECONDS
    return if (expired) failCommit(state, state.commitNumber, uncertain = true, nowMilliseconds).state else state
}

private fun begin(
    state: AttemptsState,
    event: AttemptEvent.Begun,
    nowMilliseconds: Long,
): AttemptTransition {
    val request = event.begin.request
    if (state.waiting.size >= WAITING_LIMIT || state.running.size >= RUNNING_LIMIT) {
        return AttemptTransition(state, listOf(AttemptEffect.Answer(request, AttemptOutcome.RecordUnavailable)))
    }
    val keys = attemptKeys(event.name, event.wallMilliseconds)
    val operation = AttemptOperation(
        request = request,
        conditions = keys.associateWith { 0L }.toPersistentMap(),
        target = keys.first(),
        record = AttemptRecord(
            name = event.name,
            team = event.begin.team,
            contentSha256 = event.begin.contentSha256,
            instance = "${state.instance}/$request",
        ),
        deadlineMilliseconds = nowMilliseconds + BEGIN_MILLISECONDS,
    )
    return AttemptTransition(state.copy(waiting = state.waiting.add(operation)))
}

private fun finish(
    state: AttemptsState,
    finish: AttemptFinish,
): AttemptTransition {
    val row = state.running[finish.request] ?: return AttemptTransition(state)
    val ended = state.copy(running = state.running.remove(finish.request))
    return AttemptTransition(if (ended.waiting.size < WAITING_LIMIT) close(ended, finish, row) else ended)
}

private fun close(
    state: AttemptsState,
    finish: AttemptFinish,
    row: AttemptRow,
): AttemptsState {
    val record = when (val result = finish.result) {
        is AttemptResult.NotRun -> {
            row.record.copy(state = AttemptState.NOT_RUN)
        }

        is AttemptResult.Answered -> {
            val kept = result.body.length <= BODY_LIMIT
            row.record.copy(
                state = AttemptState.ANSWERED,
                status = result.status,
                body = if (kept) result.body else "",
                contentType = result.contentType,
                bodyDropped = !kept,
            )
        }
    }
    return state.copy(waiting = state.waiting.add(closing(finish.request, row, record)))
}

internal fun closing(
    request: Long,
    row: AttemptRow,
    record: AttemptRecord,
): AttemptOperation =
    AttemptOperation(
        request = request,
        conditions = mapOf(row.key to row.version).toPersistentMap(),
        target = row.key,
        record = record,
        deadlineMilliseconds = Long.MAX_VALUE,
    )

/** Ends the commit under way, if it is [number], and decides about each of its records in turn. */
private fun settle(
    state: AttemptsState,
    number: Long,
    nextCommitMilliseconds: Long,
    next: (AttemptsState, AttemptOperation) -> AttemptTransition,
): AttemptTransition {
    if (number != state.commitNumber || state.committing.isEmpty()) return AttemptTransition(state)
    val waitMilliseconds = MILLISECONDS_PER_SECOND / COMMITS_PER_SECOND
    val settled = state.copy(
        committing = persistentListOf(),
        nextCommitMilliseconds = nextCommitMilliseconds + waitMilliseconds,
    )
    return state.committing.fold(AttemptTransition(settled)) { transition, operation ->
        val following = next(transition.state, operation)
        AttemptTransition(following.state, transition.effects + following.effects)
    }
}

private fun handleTick(
    state: AttemptsState,
    event: AttemptEvent.Tick,
    nowMilliseconds: Long,
): AttemptTransition {
    val late = { operation: AttemptOperation ->
        operation.begins && !operation.answered && nowMilliseconds >= operation.deadlineMilliseconds
    }
    val refused = (state.waiting + state.committing).filter(late).map {
        AttemptEffect.Answer(it.request, AttemptOutcome.RecordUnavailable)
    }
    val waiting = state.waiting.mapNotNull { operation ->
        when {
            !late(operation) -> operation
            operation.uncertain -> withdraw(operation)
            else -> null
        }
    }
    val committing = state.committing.map { if (late(it)) it.copy(answered = true) else it }
    val next = state.copy(waiting = waiting.toPersistentList(), committing = committing.toPersistentList())
    if (nowMilliseconds < state.nextForgetMilliseconds) return AttemptTransition(next, refused)
    val forget = AttemptEffect.Forget(forgettablePrefix(event.wallMilliseconds, event.seed))
    return AttemptTransition(
        next.copy(nextForgetMilliseconds = nowMilliseconds + FORGET_MILLISECONDS),
        refused + forget,
    )
}

/** One commit at a time; no two of its records concern the same key of a caller. */
private fun startCommit(
    transition: AttemptTransition,
    nowMilliseconds: Long,
): AttemptTransition {
    val state = transition.state
    val waits = state.committing.isNotEmpty() || nowMilliseconds < state.nextCommitMilliseconds
    if (waits || state.waiting.isEmpty()) return transition
    val batch = state.waiting.distinctBy { it.record.name }.take(BATCH_LIMIT)
    val chosen = batch.toHashSet()
    val next = state.copy(
        waiting = state.waiting.filter { it !in chosen }.toPersistentList(),
        committing = batch.toPersistentList(),
        commitNumber = state.commitNumber + 1,
        commitMilliseconds = nowMilliseconds,
    )
    return AttemptTransition(next, transition.effects + AttemptEffect.Commit(next.commitNumber, batch))
}

/** Commits of one instance in a second at most. */
public const val COMMITS_PER_SECOND: Long = 4

/** Records in one commit at most. */
public const val BATCH_LIMIT: Int = 64

/** Characters of an answer that are kept at most. */
public const val BODY_LIMIT: Int = 16_384

/** Longest time a request waits for its record to be written. */
public const val BEGIN_MILLISECONDS: Long = 3_000

private const val MILLISECONDS_PER_SECOND = 1_000L
private const val BACKOFF_MILLISECONDS = 750L
private const val COMMIT_EXPIRY_MILLISECONDS = 10_000L
private const val FORGET_MILLISECONDS = 60_000L
