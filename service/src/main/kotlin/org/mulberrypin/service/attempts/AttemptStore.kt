/** The rows of the table service that hold records of attempts. */
package org.mulberrypin.service.attempts

import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.decisions.attempts.AttemptOperation
import org.mulberrypin.decisions.attempts.AttemptRow
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

/** Writes the records of [operations] in commit [number]. */
internal fun commitAttempts(
    tables: TableService,
    number: Long,
    operations: List<AttemptOperation>,
): AttemptEvent {
    val commit = TableCommit(
        conditions = operations.flatMap { it.conditions.entries }.map { TableCondition(it.key, it.value) },
        writes = operations.map { TableWrite(it.target, encode(it.record)) },
    )
    return when (val outcome = tables.commit(commit)) {
        is Outcome.Failure -> AttemptEvent.CommitFailed(number, uncertain = outcome.fault.kind == FaultKind.UNKNOWN)
        is Outcome.Success -> endOf(number, outcome.value)
    }
}

private fun endOf(
    number: Long,
    answer: TableCommitAnswer,
): AttemptEvent =
    if (answer.committed) {
        AttemptEvent.Committed(number)
    } else {
        AttemptEvent.Conflicted(number, answer.conflicts.map(::parse))
    }

/** Deletes some of the rows whose keys start with [prefix]. */
internal fun forgetAttempts(
    tables: TableService,
    prefix: String,
): Outcome<Unit> =
    tables.scan(prefix).then { rows ->
        val writes = rows.take(FORGET_LIMIT).map { TableWrite(it.key, delete = true) }
        if (writes.isEmpty()) Outcome.Success(Unit) else tables.commit(TableCommit(writes = writes)).map { }
    }

/**
 * A missing row has version 0. A row that cannot be read is taken for the record of somebody else with another content,
 * so that it stops the attempts under its own key and no others.
 */
private fun parse(row: TableRow): AttemptRow {
    val record = parseWireJson(row.value, AttemptRecord.serializer(), "attempt record", row.key)
    return AttemptRow(row.key, row.version, (record as? Outcome.Success)?.value ?: AttemptRecord())
}

private fun encode(record: AttemptRecord): String = wireJson.encodeToString(AttemptRecord.serializer(), record)

private const val FORGET_LIMIT = 100
