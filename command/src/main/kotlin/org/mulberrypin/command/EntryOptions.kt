package org.mulberrypin.command

import org.kohsuke.args4j.Option
import org.mulberrypin.decisions.capacity.CapacityMode

/** Options of `entry`. */
internal data class EntryOptions(
    @field:Option(name = "--metrics-port", metaVar = "PORT", usage = "port for metrics; 0 disables them")
    var metricsPort: Int = 0,
    @field:Option(name = "--run-milliseconds", metaVar = "TIME", usage = "time until shutdown; 0 waits for a signal")
    var runMilliseconds: Long = 0,
    @field:Option(name = "--settings", metaVar = "FILE", usage = "settings file; default: the path set by the platform")
    var file: String = "",
    @field:Option(
        name = "--engine-orders",
        metaVar = "WHAT",
        usage = "engines to order where the platform takes orders: off, replace (those lost) or demand",
    )
    var engineOrders: CapacityMode = CapacityMode.OFF,
) : CommandOptions
