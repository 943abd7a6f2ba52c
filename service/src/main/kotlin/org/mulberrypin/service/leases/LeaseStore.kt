package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseEffect
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseRow
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite

/** Executes the lease duty's blocking calls to the table service and reports each lease's result to [onAnswer]. */
internal class LeaseStore(
    private val tables: TableService,
    private val onAnswer: (LeaseDutyEvent) -> Unit,
) {
    fun execute(command: LeaseStoreCommand) {
        when (command) {
            is LeaseStoreCommand.Read -> read(command.steps)
            is LeaseStoreCommand.Commit -> commit(command.steps)
        }
    }

    private fun read(steps: List<LeaseEffect.ReadRow>) {
        val rows = tables.read(steps.map { it.name })
        steps.forEach { step -> onAnswer(LeaseDutyEvent.Answer(step.name, readEvent(step, rows))) }
    }

    private fun readEvent(
        step: LeaseEffect.ReadRow,
        rows: Outcome<List<TableRow>>,
    ): LeaseEvent =
        when (rows) {
            is Outcome.Failure -> {
                LeaseEvent.ReadFailed(step.attempt)
            }

            is Outcome.Success -> {
                val row = parseLeaseRow(rows.value.find { it.key == step.name })
                if (row == null) LeaseEvent.ReadFailed(step.attempt) else LeaseEvent.RowRead(step.attempt, row)
            }
        }

    private fun commit(steps: List<LeaseEffect.WriteRow>) {
        val outcome = tables.commit(
            TableCommit(
                conditions = steps.map { TableCondition(key = it.record.name, version = it.expectedVersion) },
                writes = steps.map { TableWrite(key = it.record.name, value = encode(it.record)) },
            ),
        )
        steps.forEach { step -> onAnswer(LeaseDutyEvent.Answer(step.record.name, writeEvent(step, outcome))) }
    }

    private fun writeEvent(
        step: LeaseEffect.WriteRow,
        outcome: Outcome<TableCommitAnswer>,
    ): LeaseEvent =
        when (outcome) {
            is Outcome.Success -> commitEvent(step, outcome.value)
            is Outcome.Failure -> failureEvent(step, outcome.fault)
        }

    private fun commitEvent(
        step: LeaseEffect.WriteRow,
        answer: TableCommitAnswer,
    ): LeaseEvent {
        if (answer.committed) return LeaseEvent.Written(step.attempt)
        val conflict = answer.conflicts.find { it.key == step.record.name }
        val row = conflict?.let(::parseLeaseRow)
        return if (row == null) LeaseEvent.WriteNotRun(step.attempt) else LeaseEvent.WriteConflicted(step.attempt, row)
    }

    private fun failureEvent(
        step: LeaseEffect.WriteRow,
        fault: Fault,
    ): LeaseEvent =
        when (fault.kind) {
            FaultKind.UNKNOWN, FaultKind.CONNECTION_LOST, FaultKind.CONFLICT -> LeaseEvent.WriteUnknown(step.attempt)
            FaultKind.REFUSED, FaultKind.NOT_RUN -> LeaseEvent.WriteNotRun(step.attempt)
        }

    private fun parseLeaseRow(row: TableRow?): LeaseRow? {
        if (row == null || row.version == 0L) return LeaseRow(version = 0, record = null)
        return when (val record = parseWireJson(row.value, LeaseRecord.serializer(), "lease read", row.key)) {
            is Outcome.Success -> LeaseRow(row.version, record.value)
            is Outcome.Failure -> null
        }
    }

    private fun encode(record: LeaseRecord): String = wireJson.encodeToString(LeaseRecord.serializer(), record)
}
