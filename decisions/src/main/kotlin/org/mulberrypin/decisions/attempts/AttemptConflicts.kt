/** Handles the result of a commit for each of its records: written, or rejected because a row version differs. */
package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptState

/**
 * Handles a successful write of the record of [operation]; its row now has [version]. A new attempt may run, unless its
 * request was refused in the meantime; in that case, its record is changed to not run.
 */
internal fun handleWritten(
    state: AttemptsState,
    operation: AttemptOperation,
    version: Long,
): AttemptTransition {
    val row = AttemptRow(operation.target, version, operation.record)
    return when {
        !operation.isNewAttempt -> {
            AttemptTransition(state)
        }

        operation.refused -> {
            val notRunWrite = finalWrite(operation.request, row, operation.record.copy(state = AttemptState.NOT_RUN))
            AttemptTransition(requeue(state, notRunWrite))
        }

        else -> {
            AttemptTransition(
                state.copy(running = state.running.put(operation.request, row)),
                listOf(AttemptEffect.Answer(operation.request, AttemptOutcome.MayRun)),
            )
        }
    }
}

/** Resolves the first row with an unexpected version; any others conflict again in the next commit. */
internal fun resolveConflict(
    state: AttemptsState,
    operation: AttemptOperation,
    rows: List<AttemptRow>,
): AttemptTransition {
    val row = rows.firstOrNull { row -> operation.conditions[row.key].let { it != null && it != row.version } }
    return when {
        row == null -> AttemptTransition(requeue(state, operation))
        row.version == 0L && operation.isNewAttempt -> AttemptTransition(requeue(state, withVersionOf(operation, row)))
        row.record.instance == operation.record.instance -> resolveOwnWrite(state, operation, row)
        !operation.isNewAttempt -> AttemptTransition(state)
        row.record.state == AttemptState.NOT_RUN -> AttemptTransition(requeue(state, withVersionOf(operation, row)))
        operation.refused -> AttemptTransition(state)
        else -> AttemptTransition(state, listOf(AttemptEffect.Answer(operation.request, outcomeOf(operation, row))))
    }
}

/** Resolves a conflict with an earlier commit of this request, whose response was lost. */
private fun resolveOwnWrite(
    state: AttemptsState,
    operation: AttemptOperation,
    row: AttemptRow,
): AttemptTransition =
    if (row.record.state == operation.record.state) {
        handleWritten(state, operation.copy(target = row.key), row.version)
    } else {
        AttemptTransition(requeue(state, withVersionOf(operation, row)))
    }

/**
 * Returns the operation with the observed version of [row] as a condition. A new attempt keeps the row of its own
 * period as the target, so that its record stays effective for a whole period.
 */
private fun withVersionOf(
    operation: AttemptOperation,
    row: AttemptRow,
): AttemptOperation =
    operation.copy(
        conditions = operation.conditions.put(row.key, row.version),
        target = if (operation.isNewAttempt) operation.target else row.key,
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
 * Queues a record for the next commit. A new attempt whose request was refused is dropped, unless an earlier commit may
 * still take effect; in that case its record is written as not run.
 */
internal fun requeue(
    state: AttemptsState,
    operation: AttemptOperation,
): AttemptsState =
    when {
        !operation.isNewAttempt || !operation.refused -> state.copy(waiting = state.waiting.add(0, operation))
        operation.uncertain -> state.copy(waiting = state.waiting.add(0, asNotRun(operation)))
        else -> state
    }

/** Changes a new attempt to a record that it did not run; writing it also invalidates a delayed earlier commit. */
internal fun asNotRun(operation: AttemptOperation): AttemptOperation =
    operation.copy(
        record = operation.record.copy(state = AttemptState.NOT_RUN),
        refused = true,
        deadlineMilliseconds = Long.MAX_VALUE,
    )
