/**
 * Registry entries of backend servers, including those that expired while the store was unavailable. Such a server is
 * alive, as a rule, and registers again soon after the store's return; until then it is still used. The time for it
 * counts from the return and is the same for all entries, so that it has passed before the store counts as stable
 * again: an entry that disappears later belongs to a server that has left.
 */
package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.StoredRow

/**
 * The listed and the lapsed entries.
 *
 * @property rows entries that the store lists, by backend server identifier
 * @property lapsed entries that disappeared around an outage and are still used, by backend server identifier
 * @property registrationEndMilliseconds end of the time for registering again after the last outage, by the monotonic
 *   clock
 */
internal data class LapsedEntries(
    val rows: Map<String, StoredRow> = emptyMap(),
    val lapsed: Map<String, StoredRow> = emptyMap(),
    val registrationEndMilliseconds: Long = Long.MIN_VALUE,
)

/**
 * Observes a response to a call of the feed, which changed the followed table from [before] to [after]. Only calls that
 * fail in a row are an outage; a single one may have lost its connection while the store answered others.
 */
internal fun LapsedEntries.observeStore(
    before: FollowedTable,
    after: FollowedTable,
    nowMilliseconds: Long,
): LapsedEntries {
    val hasReturned = before.failures >= OUTAGE_FAILURES && after.failures == 0
    return if (hasReturned) copy(registrationEndMilliseconds = nowMilliseconds + REGISTRATION_MILLISECONDS) else this
}

/** Applies the entries that the store lists now; retains those that disappeared around an outage. */
internal fun LapsedEntries.update(
    listed: Map<String, StoredRow>,
    nowMilliseconds: Long,
): LapsedEntries {
    val isRegistering = nowMilliseconds < registrationEndMilliseconds
    val missing = if (isRegistering) (lapsed + rows).filterKeys { it !in listed } else emptyMap()
    return copy(rows = listed, lapsed = missing)
}

/** The entries that may be used: the listed ones and the retained ones. */
internal fun LapsedEntries.usableRows(): List<StoredRow> = rows.values + lapsed.values

/** True when the retention of the lapsed entries has ended. */
internal fun LapsedEntries.hasExpired(nowMilliseconds: Long): Boolean =
    lapsed.isNotEmpty() && nowMilliseconds >= registrationEndMilliseconds

/** Number of failed calls in a row from which on the store counts as unavailable. */
private const val OUTAGE_FAILURES = 2

/** Time within which backend servers register again after an outage, in milliseconds. */
private const val REGISTRATION_MILLISECONDS = 2_300L
