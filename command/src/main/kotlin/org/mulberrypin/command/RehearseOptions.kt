package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `rehearse`. */
internal data class RehearseOptions(
    @field:Option(name = "--settings", metaVar = "FILE", usage = "settings file; its addresses are replaced")
    var file: String = "",
    @field:Option(name = "--limit-milliseconds", metaVar = "TIME", usage = "longest time that the rehearsal may take")
    var limitMilliseconds: Long = 60_000,
) : CommandOptions
