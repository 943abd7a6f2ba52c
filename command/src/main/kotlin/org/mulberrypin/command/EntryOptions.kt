package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `entry`. */
internal data class EntryOptions(
    @field:Option(name = "--metrics-port", metaVar = "PORT", usage = "port of the metrics; 0 serves none")
    var metricsPort: Int = 0,
    @field:Option(name = "--run-milliseconds", metaVar = "TIME", usage = "ends by itself after this time; 0: when told")
    var runMilliseconds: Long = 0,
    @field:Option(name = "--settings", metaVar = "FILE", usage = "settings file; default: the one the platform names")
    var file: String = "",
) : CommandOptions
