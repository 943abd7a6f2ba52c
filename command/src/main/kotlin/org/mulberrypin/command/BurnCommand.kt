/** The command that reports how fast the error budgets of the teams are spent. */
package org.mulberrypin.command

import kotlinx.serialization.json.Json
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BurnReport
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal val burnCommand: Command =
    command("report burn", "Reports how fast error budgets are spent.", ::BurnOptions) { options, console ->
        withOperatorClient(options, console) { client ->
            reportOutcome(readReport(options, client), console) { report ->
                writeReport(options, formatReport(report, options.format), console)
            }
        }
    }

private fun readReport(
    options: BurnOptions,
    client: OperatorClient,
): Outcome<BurnReport> {
    val instances = if (options.isForThisInstance) "this" else "all"
    return client.read("reports/burn?instances=$instances").then { body ->
        parseWireJson(body, BurnReport.serializer(), "burn report", options.address)
    }
}

/** Writes [report] in the form that an operator asked for. */
internal fun formatReport(
    report: BurnReport,
    format: BurnFormat,
): String =
    when (format) {
        BurnFormat.TEXT -> burnText(report)
        BurnFormat.JSON -> indentedWireJson.encodeToString(BurnReport.serializer(), report)
        BurnFormat.PAGE -> burnPage(report)
    }

private fun writeReport(
    options: BurnOptions,
    text: String,
    console: Console,
): ExitCode {
    if (options.output.isEmpty()) {
        console.answer(text)
        return ExitCode.GOOD
    }
    return try {
        Files.writeString(Path.of(options.output), text)
        ExitCode.GOOD
    } catch (failure: IOException) {
        console.complain("$PROGRAM: cannot write ${options.output}: ${failure.message}")
        ExitCode.FAILED
    }
}

private val indentedWireJson = Json(wireJson) { prettyPrint = true }
