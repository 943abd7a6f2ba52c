package org.mulberrypin.decisions.explanations

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Explanation

/**
 * The records of one team for one subject, numbered in order of arrival.
 *
 * @property first number of the oldest record
 * @property records the records by number
 */
public data class TeamRecords(
    val first: Long = 0,
    val records: PersistentMap<Long, Explanation> = persistentMapOf(),
) {
    public val size: Int
        get() = records.size

    public fun add(explanation: Explanation): TeamRecords =
        copy(records = records.put(first + records.size, explanation))

    public fun dropOldest(): TeamRecords = TeamRecords(first + 1, records.remove(first))
}
