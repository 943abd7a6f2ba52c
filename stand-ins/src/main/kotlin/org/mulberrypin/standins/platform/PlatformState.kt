/** The state of the platform stand-in, and the effect of persistent faults on it. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.OrderRecord
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.schema.generated.UsageWindow

/**
 * The data of the platform stand-in.
 *
 * @property tables the current rows
 * @property staleTables the outdated rows that reads return, or null if reads are not stale
 * @property instanceLagMilliseconds lag of the list of instances
 * @property usageLog usage reports in order of arrival, including repeated ones
 * @property orderLog orders in order of arrival, including repeated and refused ones
 * @property commits number of commits, including those with conflicts
 * @property reads number of reads and scans of rows and of lists of instances
 */
internal data class PlatformState(
    val tables: TableState = TableState(),
    val staleTables: TableState? = null,
    val objects: PersistentMap<String, String> = persistentMapOf(),
    val orders: OrderState = OrderState(),
    val usage: UsageState = UsageState(),
    val instances: InstanceState = InstanceState(),
    val instanceLagMilliseconds: Long = 0,
    val usageLog: PersistentList<UsageWindow> = persistentListOf(),
    val orderLog: PersistentList<OrderRecord> = persistentListOf(),
    val commits: Long = 0,
    val reads: Long = 0,
) {
    /** The rows that reads return. */
    val readTables: TableState
        get() = staleTables ?: tables
}

/** Applies the faults that stay active until replaced: stale reads, instance lag and exhausted failure domains. */
internal fun PlatformState.withFaults(faults: StandInFaults): PlatformState =
    copy(
        staleTables = if (faults.staleReads) readTables else null,
        instanceLagMilliseconds = faults.instanceLagMilliseconds,
        orders = orders.copy(exhaustedFailureDomains = faults.exhaustedFailureDomains.toSet()),
    )
