package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `configuration history`. */
internal class HistoryOptions : OperatorOptions() {
    @field:Option(name = "--after", metaVar = "VERSION", usage = "print only patches that produced a later version")
    var after: Long = 0
}
