package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `report burn`. */
internal class BurnOptions : OperatorOptions() {
    @field:Option(name = "--format", usage = "form of the report")
    var format: BurnFormat = BurnFormat.TEXT

    @field:Option(name = "--output", metaVar = "FILE", usage = "file to write instead of standard output")
    var output: String = ""

    @field:Option(name = "--this-instance", usage = "leave out the counts of the other instances")
    var isForThisInstance: Boolean = false
}
