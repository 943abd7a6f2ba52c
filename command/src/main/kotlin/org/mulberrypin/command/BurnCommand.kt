/** The command that reports how fast each team consumes its error budget. */
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
    command("report burn", "Reports how fast teams consume their error budgets.", ::BurnOptions) { options, console ->
        withOperatorClient(options, console) { client ->
            reportOutcome(fetchReport(options, client), console) { report ->
                writeReport(options, formatReport(report, options.format), console)
            }
        }
    }

private fun fetchReport(
    options: BurnOptions,
    client: OperatorClient,
): Outcome<BurnReport> {
    val instances = if (options.thisInstanceOnly) "this" else "all"
    return client.read("reports/burn?instances=$instances").then { body ->
        parseWireJson(body, BurnReport.serializer(), "burn report", options.address)
    }
}

/** Formats [report] as [format]. */
internal fun formatReport(
    report: BurnReport,
    format: BurnFormat,
): String =
    when (format) {
        BurnFormat.TEXT -> burnText(report)
        BurnFormat.JSON -> prettyWireJson.encodeToString(BurnReport.serializer(), report)
        BurnFormat.PAGE -> burnPage(report)
    }

private fun writeReport(
    options: BurnOptions,
    text: String,
    console: Console,
): ExitCode {
    if (options.output.isEmpty()) {
        console.printLine(text)
        return ExitCode.SUCCESS
    }
    return try {
        Files.writeString(Path.of(options.output), text)
        ExitCode.SUCCESS
    } catch (failure: IOException) {
        console.printError("$PROGRAM: cannot write the report to ${options.output}: ${failure.message}")
        ExitCode.FAILED
    }
}

private val prettyWireJson = Json(wireJson) { prettyPrint = true }
