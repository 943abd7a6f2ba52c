/** What is decided about a record after its commit: it was written, or a row was not as expected. */
package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptState

/** Takes in that the record of [operation] stands in its row with [version]. */
internal fun takeWritten(
    state: AttemptsState,
    operation: AttemptOperation,
    version: Long,
): AttemptTransition {
    val row = AttemptRow(operation.target, version, operation.record)
    return when {
        !operation.begins -> {
            AttemptTransition(state)
        }

        operation.answered -> {
            val withdrawn = closing(operation.request, row, operation.record.copy(state = AttemptState.NOT_RUN))
            AttemptTransition(putBack(state, withdrawn))
        }

        else -> {
            AttemptTransition(
                state.copy(running = state.running.put(operation.request, row)),
                listOf(AttemptEffect.Answer(operation.request, AttemptOutcome.MayRun)),
            )
        }
    }
}

/** Decides by the first row that was not as expected; the others show up when the commit is repeated. */
internal fun resolveConflict(
    state: AttemptsState,
    operation: AttemptOperation,
    rows: List<AttemptRow>,
): AttemptTransition {
    val row = rows.firstOrNull { row -> operation.conditions[row.key].let { it != null && it != row.version } }
    return when {
        row == null -> AttemptTransition(putBack(state, operation))
        row.version == 0L && operation.begins -> AttemptTransition(putBack(state, over(operation, row)))
        row.record.instance == operation.record.instance -> resolveOwn(state, operation, row)
        !operation.begins -> AttemptTransition(state)
        row.record.state == AttemptState.NOT_RUN -> AttemptTransition(putBack(state, over(operation, row)))
        operation.answered -> AttemptTransition(state)
        else -> AttemptTransition(state, listOf(AttemptEffect.Answer(operation.request, outcomeOf(operation, row))))
    }
}

/** The row holds what an earlier commit of ours wrote, whose answer was lost. */
private fun resolveOwn(
    state: AttemptsState,
    operation: AttemptOperation,
    row: AttemptRow,
): AttemptTransition =
    if (row.record.state == operation.record.state) {
        takeWritten(state, operation.copy(target = row.key), row.version)
    } else {
        AttemptTransition(putBack(state, over(operation, row)))
    }

/** A new attempt is always written to the row of its own period, so that it is honoured long enough. */
private fun over(
    operation: AttemptOperation,
    row: AttemptRow,
): AttemptOperation =
    operation.copy(
        conditions = operation.conditions.put(row.key, row.version),
        target = if (operation.begins) operation.target else row.key,
    )

private fun outcomeOf(
    operation: AttemptOperation,
    row: AttemptRow,
): AttemptOutcome =
    when {
        row.record.contentSha256 != operation.record.contentSha256 -> AttemptOutcome.DifferentContent

        row.record.state == AttemptState.ANSWERED -> AttemptOutcome.AlreadyAnswered(
            status = row.record.status,
            contentType = row.record.contentType,
            body = row.record.body.takeUnless { row.record.bodyDropped },
        )

        else -> AttemptOutcome.UnderWayOrUnknown
    }

/**
 * Puts a record back to be written with the next commit. A new attempt whose request was refused while a commit of it
 * may still take effect becomes a record that it did not run.
 */
internal fun putBack(
    state: AttemptsState,
    operation: AttemptOperation,
): AttemptsState =
    when {
        !operation.begins || !operation.answered -> state.copy(waiting = state.waiting.add(0, operation))
        operation.uncertain -> state.copy(waiting = state.waiting.add(0, withdraw(operation)))
        else -> state
    }

/** Takes a new attempt back: its row tells that it did not run, which also stops a commit that arrives late. */
internal fun withdraw(operation: AttemptOperation): AttemptOperation =
    operation.copy(
        record = operation.record.copy(state = AttemptState.NOT_RUN),
        answered = true,
        deadlineMilliseconds = Long.MAX_VALUE,
    )
