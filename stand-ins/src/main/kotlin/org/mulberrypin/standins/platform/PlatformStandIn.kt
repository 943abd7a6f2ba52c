package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.PlatformRecords
import org.mulberrypin.schema.generated.PlatformSettings
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.standins.faults.FaultControl

/**
 * A running platform stand-in.
 *
 * @property address host and port of all its services
 * @property faults control over its faults; an operation name is a service (table, object, order, usage or instance)
 * and a verb, separated by a space, such as "table commit"
 * @property records returns the recorded orders and usage reports and the numbers of commits and reads
 * @property rows returns the rows of the table service, by key
 * @property instances returns the registered instances, without lag
 * @property stop closes the port and all connections; all data is lost
 */
public data class PlatformStandIn(
    val address: String,
    val faults: FaultControl,
    val records: () -> PlatformRecords,
    val rows: () -> Map<String, TableRow>,
    val instances: () -> List<InstanceEntry>,
    val stop: () -> Unit,
) {
    /** Client settings with the address of this stand-in for all services. */
    public fun settings(timeoutMilliseconds: Long = 2_000): PlatformSettings =
        PlatformSettings(
            tableAddress = address,
            objectAddress = address,
            ordersAddress = address,
            usageAddress = address,
            instancesAddress = address,
            timeoutMilliseconds = timeoutMilliseconds,
        )
}
