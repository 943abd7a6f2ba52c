package org.mulberrypin.command

import org.kohsuke.args4j.Argument

/** Options of `configuration patch`. */
internal class PatchOptions : OperatorOptions() {
    @field:Argument(required = true, metaVar = "FILE", usage = "patch as JSON, with the version it was made against")
    var file: String = ""
}
