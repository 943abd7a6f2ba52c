/** The rows of the store stand-in, with optimistic transactions and a history of changes. */
package org.mulberrypin.standins.deployment

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The primary key of a row: table, partition and key within the partition. */
public data class RowKey(
    val table: String,
    val partition: String,
    val key: String,
)

/** A row of the stand-in; [value] is the base64 text as the client sent it. */
public data class StoredRow(
    val rowKey: RowKey,
    val value: String,
    val version: Long,
    val deleted: Boolean = false,
)

/**
 * An immutable snapshot of all rows of the stand-in.
 *
 * @property version version of the latest transaction
 * @property history changes of rows, oldest first
 * @property compactedVersion changes up to and including this version have been removed from the history
 */
public data class RowTable(
    val rows: Map<RowKey, StoredRow> = emptyMap(),
    val version: Long = 0,
    val history: List<StoredRow> = emptyList(),
    val compactedVersion: Long = 0,
)

/** A transaction: expected row versions (0 for a missing row), values of rows to write, and rows to remove. */
public data class RowTransaction(
    val conditions: Map<RowKey, Long> = emptyMap(),
    val writes: Map<RowKey, String> = emptyMap(),
    val removals: Set<RowKey> = emptySet(),
)

/** Applies [transaction], or returns null if a condition does not hold. */
public fun RowTable.apply(transaction: RowTransaction): RowTable? {
    if (transaction.conditions.any { (rowKey, expected) -> (rows[rowKey]?.version ?: 0L) != expected }) return null
    val next = version + 1
    val written = transaction.writes.map { (rowKey, value) -> StoredRow(rowKey, value, next) }
    val removed = transaction.removals.filter { it in rows }.map { StoredRow(it, "", next, deleted = true) }
    return copy(
        rows = rows - transaction.removals + written.associateBy { it.rowKey },
        version = next,
        history = history + written + removed,
    )
}

/** Rows of a table and partition with keys from [from] to [to], exclusive, in key order; an empty [to] has no limit. */
public fun RowTable.range(
    table: String,
    partition: String,
    from: String,
    to: String,
    limit: Int,
): List<StoredRow> =
    rows.values
        .filter { it.rowKey.table == table && it.rowKey.partition == partition }
        .filter { it.rowKey.key >= from && (to.isEmpty() || it.rowKey.key < to) }
        .sortedBy { it.rowKey.key }
        .take(limit)

/** The latest change of each row of [table] after the version [afterVersion], oldest first. */
public fun RowTable.changesAfter(
    table: String,
    afterVersion: Long,
): List<StoredRow> =
    history
        .filter { it.rowKey.table == table && it.version > afterVersion }
        .associateBy { it.rowKey }
        .values
        .sortedBy { it.version }

/** Encodes a row as the store does. */
public fun StoredRow.toJson(): JsonObject =
    buildJsonObject {
        put("table", rowKey.table)
        put("part", rowKey.partition)
        put("key", rowKey.key)
        put("value", value)
        put("ver", version)
        if (deleted) put("deleted", true)
    }
