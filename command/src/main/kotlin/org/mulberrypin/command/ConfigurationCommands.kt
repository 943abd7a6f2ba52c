/**
 * The commands that show and change the configuration.
 */
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
    command("configuration show", "Shows the configuration and its version.", ::OperatorOptions) { options, console ->
        showPath(options, console, "configuration")
    }

internal val configurationHistoryCommand: Command =
    command("configuration history", "Lists the accepted patches.", ::HistoryOptions) { options, console ->
        showPath(options, console, "configuration/history?after=${options.after}")
    }

internal val statusCommand: Command =
    command("status", "Shows what an instance does and sees.", ::OperatorOptions) { options, console ->
        showPath(options, console, "status")
    }

internal val configurationPatchCommand: Command =
    command(
        "configuration patch",
        "Changes the configuration, if its version is the expected one.",
        ::PatchOptions,
        ::patchConfiguration,
    )

private fun showPath(
    options: OperatorOptions,
    console: Console,
    path: String,
): ExitCode =
    withOperatorClient(options, console) { client ->
        reportOutcome(client.read(path), console) { body ->
            console.answer(indented(body))
            ExitCode.GOOD
        }
    }

private fun indented(body: String): String =
    try {
        indentedJson.encodeToString(Json.parseToJsonElement(body))
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
        return refuseUsage(console, "cannot read ${options.file}: ${failure.message}")
    }
    return when (val patch = parseWireJson(text, ConfigurationPatch.serializer(), "patch", options.file)) {
        is Outcome.Failure -> refuseUsage(console, patch.fault.toString())

        is Outcome.Success -> withOperatorClient(options, console) { client ->
            reportOutcome(client.patch(patch.value), console) { answer -> reportPatch(answer, console) }
        }
    }
}

/** Reports the answer to a patch; both versions are named when the patch was stale. */
internal fun reportPatch(
    answer: PatchAnswer,
    console: Console,
): ExitCode {
    if (answer.accepted) {
        val force = if (answer.inForce) "in force on every instance" else "not yet confirmed by every instance"
        console.answer("Accepted as version ${answer.currentVersion}, $force.")
        return ExitCode.GOOD
    }
    val isStale = answer.expectedVersion != answer.currentVersion
    val versions = "the patch expects version ${answer.expectedVersion}, the configuration has version"
    val reason = if (isStale) "$versions ${answer.currentVersion}." else "version ${answer.currentVersion} stays."
    console.complain("Refused: $reason")
    answer.faults.forEach(console.complain)
    return ExitCode.FAILED
}

private val indentedJson = Json { prettyPrint = true }
