package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * A set of the most recent request names, at least [limit] and at most twice as many. When the newer half is full, the
 * older half is discarded, so that no order of insertion has to be stored.
 */
internal data class RecentNames(
    val limit: Int,
    val newer: PersistentSet<String> = persistentHashSetOf(),
    val older: PersistentSet<String> = persistentHashSetOf(),
) {
    operator fun contains(name: String): Boolean = name in newer || name in older

    fun plus(name: String): RecentNames =
        if (newer.size < limit) copy(newer = newer.add(name)) else RecentNames(limit, persistentHashSetOf(name), newer)
}
