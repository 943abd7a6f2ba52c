/** The commands that show and change the configuration, and show the status of an instance. */
package org.mulberrypin.command

import kotlinx.serialization.json.Json
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.PatchAnswer
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal val configurationShowCommand: Command =
    command("configuration show", "Prints the configuration.", ::OperatorOptions) { options, console ->
        printResource(options, console, "configuration")
    }

internal val configurationHistoryCommand: Command =
    command("configuration history", "Prints the accepted patches.", ::HistoryOptions) { options, console ->
        printResource(options, console, "configuration/history?after=${options.after}")
    }

internal val statusCommand: Command =
    command("status", "Prints the status of an instance.", ::OperatorOptions) { options, console ->
        printResource(options, console, "status")
    }

internal val configurationPatchCommand: Command =
    command(
        "configuration patch",
        "Applies a patch if the configuration still has the version that the patch expects.",
        ::PatchOptions,
        ::patchConfiguration,
    )

private fun printResource(
    options: OperatorOptions,
    console: Console,
    path: String,
): ExitCode =
    withOperatorClient(options, console) { client ->
        reportOutcome(client.read(path), console) { body ->
            console.printLine(prettyPrinted(body))
            ExitCode.SUCCESS
        }
    }

private fun prettyPrinted(body: String): String =
    try {
        prettyJson.encodeToString(Json.parseToJsonElement(body))
    } catch (_: IllegalArgumentException) {
        body
    }

private fun patchConfiguration(
    options: PatchOptions,
    console: Console,
): ExitCode {
    val text = try {
        Files.readString(Path.of(options.file))
    } catch (failure: IOException) {
        return reportUsageError(console, "cannot read the patch file ${options.file}: ${failure.message}")
    }
    return when (val patch = parseWireJson(text, ConfigurationPatch.serializer(), "patch", options.file)) {
        is Outcome.Failure -> reportUsageError(console, patch.fault.toString())

        is Outcome.Success -> withOperatorClient(options, console) { client ->
            reportOutcome(client.patch(patch.value), console) { answer -> reportPatch(answer, console) }
        }
    }
}

/** Reports the response to a patch; a stale patch is reported with its expected and the current version. */
internal fun reportPatch(
    answer: PatchAnswer,
    console: Console,
): ExitCode {
    if (answer.accepted) {
        val activation = if (answer.inForce) "in force on every instance" else "not yet confirmed by every instance"
        console.printLine("Accepted as version ${answer.currentVersion}, $activation.")
        return ExitCode.SUCCESS
    }
    val isStale = answer.expectedVersion != answer.currentVersion
    val versions = "the patch expects version ${answer.expectedVersion}, the configuration has version"
    val reason = if (isStale) "$versions ${answer.currentVersion}." else "version ${answer.currentVersion} is kept."
    console.printError("Refused: $reason")
    answer.faults.forEach(console.printError)
    return ExitCode.FAILED
}

private val prettyJson = Json { prettyPrint = true }
