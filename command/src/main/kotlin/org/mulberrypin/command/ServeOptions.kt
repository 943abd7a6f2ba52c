package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `serve`. */
internal data class ServeOptions(
    @field:Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file (INI) of the instance")
    var file: String = "",
) : CommandOptions
