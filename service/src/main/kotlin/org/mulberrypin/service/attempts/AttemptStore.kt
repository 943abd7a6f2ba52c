/** Commits and deletes attempt records in the table service. */
package org.mulberrypin.service.attempts

import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.decisions.attempts.AttemptRow
import org.mulberrypin.decisions.attempts.RecordWrite
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.AttemptRecord
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite

/** Executes [writes] in one commit and returns its result as an event for commit [number]. */
internal fun commitAttempts(
    tables: TableService,
    number: Long,
    writes: List<RecordWrite>,
): AttemptEvent {
    val commit = TableCommit(
        conditions = writes.flatMap { it.conditions.entries }.map { TableCondition(it.key, it.value) },
        writes = writes.map { TableWrite(it.target, encodeRecord(it.record)) },
    )
    return when (val outcome = tables.commit(commit)) {
        is Outcome.Failure -> AttemptEvent.CommitFailed(
            number,
            mayHaveCommitted = outcome.fault.kind == FaultKind.UNKNOWN,
        )

        is Outcome.Success -> commitEvent(number, outcome.value)
    }
}

private fun commitEvent(
    number: Long,
    response: TableCommitAnswer,
): AttemptEvent =
    if (response.committed) {
        AttemptEvent.Committed(number)
    } else {
        AttemptEvent.Conflicted(number, response.conflicts.map(::parseRow))
    }

/** Deletes up to [MAX_DELETED_ROWS] rows whose keys start with [prefix]. */
internal fun deleteAttempts(
    tables: TableService,
    prefix: String,
): Outcome<Unit> =
    tables.scan(prefix).then { rows ->
        val writes = rows.take(MAX_DELETED_ROWS).map { TableWrite(it.key, delete = true) }
        if (writes.isEmpty()) Outcome.Success(Unit) else tables.commit(TableCommit(writes = writes)).map { }
    }

/**
 * Parses a conflicting row; a missing row has version 0. A malformed row is treated as another caller's record with
 * different content, so that it blocks only attempts under its own key.
 */
private fun parseRow(row: TableRow): AttemptRow {
    val record = parseWireJson(row.value, AttemptRecord.serializer(), "attempt record", row.key)
    return AttemptRow(row.key, row.version, (record as? Outcome.Success)?.value ?: AttemptRecord())
}

private fun encodeRecord(record: AttemptRecord): String = wireJson.encodeToString(AttemptRecord.serializer(), record)

private const val MAX_DELETED_ROWS = 100
