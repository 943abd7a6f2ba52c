package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.StoredRow

/**
 * Entries of backend servers, with those that vanished around an outage of the store. An entry that lapsed during an
 * outage may come back soon after it; until then its backend server is still used.
 *
 * @property rows entries that the store lists
 * @property lapsed entries that vanished, with the time until which they are kept
 * @property troubledMilliseconds when the store last failed to answer
 */
internal data class LapsedEntries(
    val rows: Map<String, StoredRow> = emptyMap(),
    val lapsed: Map<String, LapsedEntry> = emptyMap(),
    val troubledMilliseconds: Long = Long.MIN_VALUE / 2,
)

/** An entry that vanished. */
internal data class LapsedEntry(
    val row: StoredRow,
    val keptUntilMilliseconds: Long,
)

/** Takes the entries that the store lists now. */
internal fun LapsedEntries.observe(
    listed: Map<String, StoredRow>,
    nowMilliseconds: Long,
): LapsedEntries {
    val isTroubled = nowMilliseconds - troubledMilliseconds < TROUBLE_MILLISECONDS
    val vanished = if (isTroubled) rows.filterKeys { it !in listed } else emptyMap()
    val kept = lapsed.filter { (id, entry) -> id !in listed && entry.keptUntilMilliseconds > nowMilliseconds }
    val added = vanished.mapValues { (_, row) -> LapsedEntry(row, nowMilliseconds + RETURN_MILLISECONDS) }
    return copy(rows = listed, lapsed = kept + added)
}

/** The entries to go by. */
internal fun LapsedEntries.present(): List<StoredRow> = rows.values + lapsed.values.map { it.row }

/** True when an entry was kept for long enough. */
internal fun LapsedEntries.hasLapsed(nowMilliseconds: Long): Boolean =
    lapsed.values.any { it.keptUntilMilliseconds <= nowMilliseconds }

/** Time after a failure of the store in which a vanished entry may have lapsed, in milliseconds. */
private const val TROUBLE_MILLISECONDS = 2_000L

/** Time within which backend servers are listed again after an outage, in milliseconds. */
private const val RETURN_MILLISECONDS = 2_300L
