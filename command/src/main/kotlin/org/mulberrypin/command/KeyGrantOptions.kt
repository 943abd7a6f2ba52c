package org.mulberrypin.command

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.mulberrypin.schema.generated.KeyRole

/** Options of `key grant`. */
internal class KeyGrantOptions : OperatorOptions() {
    @field:Argument(required = true, metaVar = "NAME", usage = "name that identifies the key to operators")
    var name: String = ""

    @field:Option(name = "--team", required = true, metaVar = "TEAM", usage = "team that the key belongs to")
    var team: String = ""

    @field:Option(name = "--role", usage = "role that the key grants")
    var role: KeyRole = KeyRole.CALLER
}
