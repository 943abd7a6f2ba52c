/** Keys and JSON encoding of the rows that rollouts store in the table service. */
package org.mulberrypin.service.rollouts

import kotlinx.serialization.KSerializer
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.schema.generated.TrainerRecord

/** Key of the row with the lease on a step. */
internal fun leaseRowKey(key: StepKey): String = "lease/step/${key.team}/${key.trainer}/${key.step}"

/** Key of the row with the record of a step. */
internal fun recordRowKey(key: StepKey): String = "step/${key.team}/${key.trainer}/${key.step}"

/** Key of the row that lists the newest steps of a trainer. */
internal fun trainerRowKey(key: StepKey): String = "trainer/${key.team}/${key.trainer}"

/** Key of the row with the heartbeat of an instance, which renews all its step leases. */
internal fun heartbeatRowKey(instance: String): String = "lease/rollouts/$instance"

internal fun leaseRowWrite(
    row: String,
    lease: LeaseRecord,
) = TableWrite(row, encodeWireJson(LeaseRecord.serializer(), lease))

internal fun recordRowWrite(
    key: StepKey,
    record: StepRecord,
) = TableWrite(recordRowKey(key), encodeWireJson(StepRecord.serializer(), record))

internal fun trainerRowWrite(
    key: StepKey,
    trainer: TrainerRecord,
) = TableWrite(trainerRowKey(key), encodeWireJson(TrainerRecord.serializer(), trainer))

/** Condition that [row] has [version]; version 0 means that it does not exist. */
internal fun versionCondition(
    row: String,
    version: Long,
) = TableCondition(row, version)

/** Decodes the record in [row]; a missing row is a success with null. */
internal fun <Record> parseRow(
    row: TableRow?,
    serializer: KSerializer<Record>,
): Outcome<Versioned<Record>?> =
    if (row == null) {
        Outcome.Success(null)
    } else {
        parseWireJson(row.value, serializer, "read row ${row.key}", "table service")
            .map { Versioned(row.version, it) }
    }
