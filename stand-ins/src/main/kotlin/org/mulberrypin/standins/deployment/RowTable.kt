package org.mulberrypin.standins.deployment

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Where a row lies. */
public data class RowName(
    val table: String,
    val partition: String,
    val key: String,
)

/** A row of the stand-in; [value] is base64 as it came. */
public data class KeptRow(
    val name: RowName,
    val value: String,
    val version: Long,
    val deleted: Boolean = false,
)

/**
 * All rows of the stand-in.
 *
 * @property version number of the newest transaction
 * @property history every change, oldest first
 * @property forgottenVersion changes up to this version are no longer in the history
 */
public data class RowTable(
    val rows: Map<RowName, KeptRow> = emptyMap(),
    val version: Long = 0,
    val history: List<KeptRow> = emptyList(),
    val forgottenVersion: Long = 0,
)

/** Versions that rows must have, rows to write with their values, and rows to remove. */
public data class RowChange(
    val conditions: Map<RowName, Long> = emptyMap(),
    val writes: Map<RowName, String> = emptyMap(),
    val removals: Set<RowName> = emptySet(),
)

/** Applies [change], or answers null when a condition does not hold. */
public fun RowTable.apply(change: RowChange): RowTable? {
    if (change.conditions.any { (name, expected) -> (rows[name]?.version ?: 0L) != expected }) return null
    val next = version + 1
    val written = change.writes.map { (name, value) -> KeptRow(name, value, next) }
    val removed = change.removals.filter { it in rows }.map { KeptRow(it, "", next, deleted = true) }
    return copy(
        rows = rows - change.removals + written.associateBy { it.name },
        version = next,
        history = history + written + removed,
    )
}

/** Rows of a table and partition with keys in a range, in the order of their keys. */
public fun RowTable.range(
    table: String,
    partition: String,
    from: String,
    to: String,
    limit: Int,
): List<KeptRow> =
    rows.values
        .filter { it.name.table == table && it.name.partition == partition }
        .filter { it.name.key >= from && (to.isEmpty() || it.name.key < to) }
        .sortedBy { it.name.key }
        .take(limit)

/** The newest change of each row of [table] after [after], oldest first. */
public fun RowTable.changesAfter(
    table: String,
    after: Long,
): List<KeptRow> =
    history
        .filter { it.name.table == table && it.version > after }
        .associateBy { it.name }
        .values
        .sortedBy { it.version }

/** A row as the store writes it. */
public fun KeptRow.toJson(): JsonObject =
    buildJsonObject {
        put("table", name.table)
        put("part", name.partition)
        put("key", name.key)
        put("value", value)
        put("ver", version)
        if (deleted) put("deleted", true)
    }
