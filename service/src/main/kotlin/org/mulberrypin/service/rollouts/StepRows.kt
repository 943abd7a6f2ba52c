/** The keys of the rows that rollouts keep in the table service, and the JSON form of their values. */
package org.mulberrypin.service.rollouts

import kotlinx.serialization.KSerializer
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.schema.generated.TrainerRecord

internal fun leaseRow(key: StepKey): String = "lease/step/${key.team}/${key.trainer}/${key.step}"

internal fun recordRow(key: StepKey): String = "step/${key.team}/${key.trainer}/${key.step}"

internal fun trainerRow(key: StepKey): String = "trainer/${key.team}/${key.trainer}"

internal fun heartbeatRow(instance: String): String = "lease/rollouts/$instance"

internal fun leaseWrite(
    row: String,
    lease: LeaseRecord,
) = TableWrite(row, wireJson.encodeToString(LeaseRecord.serializer(), lease))

internal fun recordWrite(
    key: StepKey,
    record: StepRecord,
) = TableWrite(recordRow(key), wireJson.encodeToString(StepRecord.serializer(), record))

internal fun trainerWrite(
    key: StepKey,
    trainer: TrainerRecord,
) = TableWrite(trainerRow(key), wireJson.encodeToString(TrainerRecord.serializer(), trainer))

internal fun versionIs(
    row: String,
    version: Long,
) = TableCondition(row, version)

/** Reads the record in [row]; a missing row is a success with null. */
internal fun <Record> readRow(
    row: TableRow?,
    serializer: KSerializer<Record>,
): Outcome<Versioned<Record>?> =
    if (row == null) {
        Outcome.Success(null)
    } else {
        parseWireJson(row.value, serializer, "read row ${row.key}", "table service")
            .map { Versioned(row.version, it) }
    }
