package org.mulberrypin.command

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Options of `configuration check`. */
internal class CheckConfigurationOptions : CommandOptions {
    @field:Argument(
        required = true,
        metaVar = "FILE",
        usage = "JSON file with the configuration of a deployment or with a patch",
    )
    var file: String = ""

    @field:Option(
        name = "--in-force",
        metaVar = "FILE|HOST:PORT",
        usage = "version in force to compare with: a file, or an entry instance for a patch",
    )
    var inForce: String = ""

    @field:Option(
        name = "--operator-key-file",
        metaVar = "FILE",
        usage = "file that contains the operator key; needed with an entry instance",
    )
    var keyFile: String = ""

    @field:Option(name = "--json", usage = "print the findings and differences as JSON")
    var asJson: Boolean = false
}
