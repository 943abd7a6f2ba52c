/** What the platform stand-in keeps, and how lasting faults change it. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.OrderRecord
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.schema.generated.UsageWindow

/**
 * Everything the platform stand-in keeps.
 *
 * @property tables the rows as they are
 * @property staleTables the rows that reads are answered from, or null when reads are not stale
 * @property instanceLagMilliseconds age of the list of instances that is answered
 * @property usageLog reports in the order of arrival, repeated ones included
 * @property orderLog orders in the order of arrival, repeated and refused ones included
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
    /** The rows that reads are answered from. */
    val readTables: TableState
        get() = staleTables ?: tables
}

/** Brings the lasting faults among [faults] into force. */
internal fun PlatformState.under(faults: StandInFaults): PlatformState =
    copy(
        staleTables = if (faults.staleReads) readTables else null,
        instanceLagMilliseconds = faults.instanceLagMilliseconds,
        orders = orders.copy(exhaustedFailureDomains = faults.exhaustedFailureDomains.toSet()),
    )
