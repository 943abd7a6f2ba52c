package org.mulberrypin.command

import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.StringArrayOptionHandler

/** Options of `check-settings`. */
internal data class CheckSettingsOptions(
    @field:Option(
        name = "--settings",
        required = true,
        metaVar = "FILE...",
        handler = StringArrayOptionHandler::class,
        usage = "settings files to validate",
    )
    var files: Array<String> = emptyArray(),
) : CommandOptions
