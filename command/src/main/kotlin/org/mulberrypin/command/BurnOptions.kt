package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options of `report burn`. */
internal class BurnOptions : OperatorOptions() {
    @field:Option(name = "--format", usage = "output format of the report")
    var format: BurnFormat = BurnFormat.TEXT

    @field:Option(name = "--output", metaVar = "FILE", usage = "file to write to instead of standard output")
    var output: String = ""

    @field:Option(name = "--this-instance", usage = "include only the events counted by the addressed instance")
    var thisInstanceOnly: Boolean = false
}
