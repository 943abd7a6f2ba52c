/**
 * The rows of the table service. A commit is atomic. The versions of a key increase monotonically, even when its row is
 * deleted and written again.
 */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite

/**
 * @property rows current rows, by key
 * @property deletedVersions last versions of deleted rows, by key
 */
internal data class TableState(
    val rows: PersistentMap<String, TableRow> = persistentMapOf(),
    val deletedVersions: PersistentMap<String, Long> = persistentMapOf(),
)

/**
 * @property state the state after the commit
 * @property answer the response to the client
 */
internal data class TableTransition(
    val state: TableState,
    val answer: TableCommitAnswer,
)

/** Applies [commit] if all its conditions hold. */
internal fun TableState.commit(commit: TableCommit): TableTransition {
    val conflicts = commit.conditions.filterNot(::holds).map { rowAt(it.key) }
    return if (conflicts.isEmpty()) {
        TableTransition(commit.writes.fold(this, TableState::write), TableCommitAnswer(committed = true))
    } else {
        TableTransition(this, TableCommitAnswer(committed = false, conflicts = conflicts))
    }
}

/** The rows with [keys], without missing ones. */
internal fun TableState.read(keys: List<String>): List<TableRow> = keys.mapNotNull(rows::get)

/** All rows whose keys start with [prefix], sorted by key. */
internal fun TableState.scan(prefix: String): List<TableRow> =
    rows.values.filter { it.key.startsWith(prefix) }.sortedBy { it.key }

private fun TableState.holds(condition: TableCondition): Boolean = rowAt(condition.key).version == condition.version

private fun TableState.rowAt(key: String): TableRow = rows[key] ?: TableRow(key = key)

private fun TableState.write(write: TableWrite): TableState {
    val version = rows[write.key]?.version ?: deletedVersions[write.key] ?: 0
    return when {
        !write.delete -> TableState(
            rows = rows.put(write.key, TableRow(write.key, version + 1, write.value)),
            deletedVersions = deletedVersions.remove(write.key),
        )

        write.key in rows -> TableState(rows.remove(write.key), deletedVersions.put(write.key, version))

        else -> this
    }
}
