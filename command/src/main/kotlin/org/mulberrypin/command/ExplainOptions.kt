package org.mulberrypin.command

import org.kohsuke.args4j.Argument

/** Options of `explain`. */
internal class ExplainOptions : OperatorOptions() {
    @field:Argument(
        index = 0,
        required = true,
        metaVar = "SUBJECT",
        usage = "kind of subject: request, sample, order, report, lease or configuration",
    )
    var subject: String = ""

    @field:Argument(index = 1, required = true, metaVar = "NAME", usage = "name of the subject")
    var name: String = ""
}
