/** The form of the records that entry instances keep in the platform's store. */
package org.mulberrypin.service.deployment

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.mulberrypin.platform.deployment.StoredRow

/** JSON of records; unknown fields are ignored, so that two versions of the program can run side by side. */
internal val recordJson: Json = Json { ignoreUnknownKeys = true }

/** Reads the record in [row], or logs that it holds none and answers null. */
internal fun <Value> DecisionLog.decodeRecord(
    row: StoredRow,
    record: DeserializationStrategy<Value>,
): Value? = decodeRecord("${row.table}/${row.key}", row.value, record)

/** Reads the record in [text], which stands under [name]. */
internal fun <Value> DecisionLog.decodeRecord(
    name: String,
    text: String,
    record: DeserializationStrategy<Value>,
): Value? =
    try {
        recordJson.decodeFromString(record, text)
    } catch (failure: SerializationException) {
        val expected = record.descriptor.serialName.substringAfterLast('.')
        val reason = failure.message?.lineSequence()?.first()
        write("store", name, "row not readable", "store", "expected $expected: $reason")
        null
    }
