/** Keys and encoding of the table rows that store usage. */
package org.mulberrypin.service.billing

import kotlinx.serialization.KSerializer
import org.mulberrypin.decisions.billing.UsageRow
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite

internal const val PROGRESS_KEY = "usage/progress"
internal const val CHECKPOINT_PREFIX = "usage/count/"
internal const val TAKEN_PREFIX = "usage/taken/"
internal const val REPORT_PREFIX = "usage/report/"

/** Decodes a row. A malformed row is a fault and is never skipped. */
internal fun <Value> usageRow(
    row: TableRow,
    serializer: KSerializer<Value>,
): Outcome<UsageRow<Value>> =
    parseWireJson(row.value, serializer, "read usage", row.key).map { UsageRow(row.version, it) }

/** Decodes several rows; returns the first fault if a row is malformed. */
internal fun <Value> usageRows(
    rows: List<TableRow>,
    serializer: KSerializer<Value>,
): Outcome<List<UsageRow<Value>>> {
    val read = rows.map { usageRow(it, serializer) }
    val fault = read.filterIsInstance<Outcome.Failure>().firstOrNull()
    return fault ?: Outcome.Success(read.filterIsInstance<Outcome.Success<UsageRow<Value>>>().map { it.value })
}

internal fun <Value> usageWrite(
    key: String,
    value: Value,
    serializer: KSerializer<Value>,
): TableWrite = TableWrite(key = key, value = wireJson.encodeToString(serializer, value))

internal fun usageCondition(
    key: String,
    version: Long,
): TableCondition = TableCondition(key = key, version = version)
