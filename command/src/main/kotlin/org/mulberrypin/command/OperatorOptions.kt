package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options shared by all commands that call a running instance. */
internal open class OperatorOptions : CommandOptions {
    @field:Option(name = "--address", required = true, metaVar = "HOST:PORT", usage = "address of an entry instance")
    var address: String = ""

    @field:Option(
        name = "--operator-key-file",
        required = true,
        metaVar = "FILE",
        usage = "file that contains the operator key",
    )
    var keyFile: String = ""
}
