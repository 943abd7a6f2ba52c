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
 * @property faults control over its faults; operations are named table, object, order, usage and instance, followed by
 * a blank and what is done
 * @property records reads what it was sent
 * @property rows reads the rows of the table service, by key
 * @property instances reads the instances without lag
 * @property stop closes the port and cuts all connections; what it kept is lost
 */
public data class PlatformStandIn(
    val address: String,
    val faults: FaultControl,
    val records: () -> PlatformRecords,
    val rows: () -> Map<String, TableRow>,
    val instances: () -> List<InstanceEntry>,
    val stop: () -> Unit,
) {
    /** Settings under which clients reach all services of this stand-in. */
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
