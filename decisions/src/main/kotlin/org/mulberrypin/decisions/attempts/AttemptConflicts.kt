/** Handles the result of a commit for each of its records: written, or rejected because a row version differs. */
package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptState

/**
 * Handles the success of [write]; its row now has [version]. A new attempt may run, unless its request was refused in
 * the meantime; in that case, its record is changed to not run.
 */
internal fun handleWritten(
    state: AttemptsState,
    write: RecordWrite,
    version: Long,
): AttemptTransition {
    val row = AttemptRow(write.target, version, write.record)
    return when {
        !write.isNewAttempt -> {
            AttemptTransition(state)
        }

        write.refused -> {
            val notRunWrite = finalWrite(write.request, row, write.record.copy(state = AttemptState.NOT_RUN))
            AttemptTransition(requeue(state, notRunWrite))
        }

        else -> {
            AttemptTransition(
                state.copy(running = state.running.put(write.request, row)),
                listOf(AttemptEffect.ReportOutcome(write.request, AttemptOutcome.MayRun)),
            )
        }
    }
}

/** Resolves the first row with an unexpected version; any others conflict again in the next commit. */
internal fun resolveConflict(
    state: AttemptsState,
    write: RecordWrite,
    rows: List<AttemptRow>,
): AttemptTransition {
    val row = rows.firstOrNull { row -> write.conditions[row.key].let { it != null && it != row.version } }
    return when {
        row == null -> AttemptTransition(requeue(state, write))
        row.version == 0L && write.isNewAttempt -> AttemptTransition(requeue(state, withVersionOf(write, row)))
        row.record.instance == write.record.instance -> resolveOwnWrite(state, write, row)
        !write.isNewAttempt -> AttemptTransition(state)
        row.record.state == AttemptState.NOT_RUN -> AttemptTransition(requeue(state, withVersionOf(write, row)))
        write.refused -> AttemptTransition(state)
        else -> AttemptTransition(state, listOf(AttemptEffect.ReportOutcome(write.request, outcomeOf(write, row))))
    }
}

/** Resolves a conflict with an earlier commit of this request, whose response was lost. */
private fun resolveOwnWrite(
    state: AttemptsState,
    write: RecordWrite,
    row: AttemptRow,
): AttemptTransition =
    if (row.record.state == write.record.state) {
        handleWritten(state, write.copy(target = row.key), row.version)
    } else {
        AttemptTransition(requeue(state, withVersionOf(write, row)))
    }

/**
 * Returns the write with the observed version of [row] as a condition. A new attempt keeps the row of its own
 * period as the target, so that its record stays effective for a whole period.
 */
private fun withVersionOf(
    write: RecordWrite,
    row: AttemptRow,
): RecordWrite =
    write.copy(
        conditions = write.conditions.put(row.key, row.version),
        target = if (write.isNewAttempt) write.target else row.key,
    )

private fun outcomeOf(
    write: RecordWrite,
    row: AttemptRow,
): AttemptOutcome =
    when {
        row.record.contentSha256 != write.record.contentSha256 -> AttemptOutcome.DifferentContent

        row.record.state == AttemptState.ANSWERED -> AttemptOutcome.AlreadyCompleted(
            status = row.record.status,
            contentType = row.record.contentType,
            body = row.record.body.takeUnless { row.record.bodyDropped },
        )

        else -> AttemptOutcome.InProgressOrUnknown
    }

/**
 * Queues a record for the next commit. A new attempt whose request was refused is dropped, unless an earlier commit may
 * still take effect; in that case its record is written as not run.
 */
internal fun requeue(
    state: AttemptsState,
    write: RecordWrite,
): AttemptsState =
    when {
        !write.isNewAttempt || !write.refused -> state.copy(queued = state.queued.add(0, write))
        write.mayHaveCommitted -> state.copy(queued = state.queued.add(0, asNotRun(write)))
        else -> state
    }

/** Changes a new attempt to a record that it did not run; writing it also invalidates a delayed earlier commit. */
internal fun asNotRun(write: RecordWrite): RecordWrite =
    write.copy(
        record = write.record.copy(state = AttemptState.NOT_RUN),
        refused = true,
        deadlineMilliseconds = Long.MAX_VALUE,
    )
