package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * The newest names, at least [limit] and at most twice as many; the older half goes when the newer half is full.
 */
internal data class RecentNames(
    val limit: Int,
    val newer: PersistentSet<String> = persistentHashSetOf(),
    val older: PersistentSet<String> = persistentHashSetOf(),
) {
    operator fun contains(name: String): Boolean = name in newer || name in older

    fun remember(name: String): RecentNames =
        if (newer.size < limit) copy(newer = newer.add(name)) else RecentNames(limit, persistentHashSetOf(name), newer)
}
