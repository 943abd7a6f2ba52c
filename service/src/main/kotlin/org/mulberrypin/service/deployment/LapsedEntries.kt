package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.StoredRow

/**
 * Registry entries of backend servers, including those that disappeared around a store outage. A backend server whose
 * entry expired during an outage may register again soon after it; until then the server is still used.
 *
 * @property rows entries that the store lists, by backend server identifier
 * @property lapsed entries that disappeared and are still used, by backend server identifier
 * @property lastStoreFailureMilliseconds time of the last failed store call, by the monotonic clock
 */
internal data class LapsedEntries(
    val rows: Map<String, StoredRow> = emptyMap(),
    val lapsed: Map<String, LapsedEntry> = emptyMap(),
    val lastStoreFailureMilliseconds: Long = Long.MIN_VALUE / 2,
)

/** An entry that disappeared; it is used until [expiresMilliseconds] by the monotonic clock. */
internal data class LapsedEntry(
    val row: StoredRow,
    val expiresMilliseconds: Long,
)

/** Applies the entries that the store lists now; retains those that disappeared around an outage. */
internal fun LapsedEntries.update(
    listed: Map<String, StoredRow>,
    nowMilliseconds: Long,
): LapsedEntries {
    val isDuringOutage = nowMilliseconds - lastStoreFailureMilliseconds < OUTAGE_MARGIN_MILLISECONDS
    val vanished = if (isDuringOutage) rows.filterKeys { it !in listed } else emptyMap()
    val retained = lapsed.filter { (id, entry) -> id !in listed && entry.expiresMilliseconds > nowMilliseconds }
    val newlyLapsed = vanished.mapValues { (_, row) -> LapsedEntry(row, nowMilliseconds + REREGISTRATION_MILLISECONDS) }
    return copy(rows = listed, lapsed = retained + newlyLapsed)
}

/** The entries that may be used: the listed ones and the retained ones. */
internal fun LapsedEntries.usableRows(): List<StoredRow> = rows.values + lapsed.values.map { it.row }

/** True when the retention of an entry has ended. */
internal fun LapsedEntries.hasExpired(nowMilliseconds: Long): Boolean =
    lapsed.values.any { it.expiresMilliseconds <= nowMilliseconds }

/** Time after a store failure in which a missing entry is attributed to the outage, in milliseconds. */
private const val OUTAGE_MARGIN_MILLISECONDS = 2_000L

/** Time within which backend servers register again after an outage, in milliseconds. */
private const val REREGISTRATION_MILLISECONDS = 2_300L
