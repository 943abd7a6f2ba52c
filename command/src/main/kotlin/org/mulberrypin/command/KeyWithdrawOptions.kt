package org.mulberrypin.command

import org.kohsuke.args4j.Argument

/** Options of `key withdraw`. */
internal class KeyWithdrawOptions : OperatorOptions() {
    @field:Argument(required = true, metaVar = "NAME", usage = "name that identifies the key to operators")
    var name: String = ""
}
