package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.PlatformTables
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.evacuatedDomainOf

/**
 * The evacuations that the rows of the operator's table request.
 *
 * @property domains evacuated failure domains
 * @property unreadable keys of the rows that name no failure domain
 * @property newlyUnreadable rows of [unreadable] that the previous reading did not have
 */
internal data class EvacuationRows(
    val domains: Set<String> = emptySet(),
    val unreadable: Set<String> = emptySet(),
    val newlyUnreadable: List<StoredRow> = emptyList(),
)

/** Reads all [rows] of the operator's table. A row that names no failure domain leaves the others as they are. */
internal fun EvacuationRows.read(rows: Collection<StoredRow>): EvacuationRows {
    val requests = rows.filter { it.key.startsWith(PlatformTables.EVACUATION_PREFIX) }
    val failed = requests.filter { evacuatedDomainOf(it.key) == null }
    return EvacuationRows(
        domains = requests.mapNotNullTo(HashSet()) { evacuatedDomainOf(it.key) },
        unreadable = failed.mapTo(HashSet()) { it.key },
        newlyUnreadable = failed.filter { it.key !in unreadable },
    )
}
