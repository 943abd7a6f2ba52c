/** JSON encoding of the records that entry instances keep in the platform's store. */
package org.mulberrypin.service.deployment

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.isNestedTooDeeply

/** JSON format of records; unknown fields are ignored, so that two program versions can run side by side. */
internal val recordJson: Json = Json { ignoreUnknownKeys = true }

/** Decodes the record in [row]; logs an unreadable row and returns null. */
internal fun <Value> DecisionLog.decodeRecord(
    row: StoredRow,
    record: DeserializationStrategy<Value>,
): Value? = decodeRecord("${row.table}/${row.key}", row.value, record)

/** Decodes the record in [text]; logs it as unreadable under [name] and returns null if that fails. */
internal fun <Value> DecisionLog.decodeRecord(
    name: String,
    text: String,
    record: DeserializationStrategy<Value>,
): Value? {
    val reason = if (isNestedTooDeeply(text)) {
        "nested too deeply"
    } else {
        try {
            return recordJson.decodeFromString(record, text)
        } catch (failure: IllegalArgumentException) {
            failure.message?.lineSequence()?.first()
        }
    }
    val expected = record.descriptor.serialName.substringAfterLast('.')
    write("store", name, "row not readable", "store", "expected $expected: $reason")
    return null
}
