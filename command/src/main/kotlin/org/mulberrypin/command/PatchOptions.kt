package org.mulberrypin.command

import org.kohsuke.args4j.Argument

/** Options of `configuration patch`. */
internal class PatchOptions : OperatorOptions() {
    @field:Argument(required = true, metaVar = "FILE", usage = "JSON file with the patch and its expected version")
    var file: String = ""
}
