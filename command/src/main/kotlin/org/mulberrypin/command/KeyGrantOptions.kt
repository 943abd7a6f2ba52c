package org.mulberrypin.command

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.mulberrypin.schema.generated.KeyRole

/** Options of `key grant`. */
internal class KeyGrantOptions : OperatorOptions() {
    @field:Argument(required = true, metaVar = "NAME", usage = "name by which operators know the key")
    var name: String = ""

    @field:Option(name = "--team", required = true, metaVar = "TEAM", usage = "team of the key")
    var team: String = ""

    @field:Option(name = "--role", usage = "what the key may be used for")
    var role: KeyRole = KeyRole.CALLER
}
