package org.mulberrypin.command

import org.mulberrypin.runtime.settings.SettingsOutcome
import org.mulberrypin.runtime.settings.readEntrySettings
import java.nio.file.Path

internal val checkSettingsCommand: Command =
    command(
        "check-settings",
        "Validates settings files and reports all their errors.",
        ::CheckSettingsOptions,
        ::checkFiles,
    )

private fun checkFiles(
    options: CheckSettingsOptions,
    console: Console,
): ExitCode {
    val results = options.files.map { file -> checkFile(Path.of(file), console) }
    return if (results.all { it == ExitCode.SUCCESS }) ExitCode.SUCCESS else ExitCode.USAGE_ERROR
}

private fun checkFile(
    file: Path,
    console: Console,
): ExitCode =
    when (val outcome = readEntrySettings(file)) {
        is SettingsOutcome.Valid -> {
            console.printLine("$file: valid, instance ${outcome.settings.instance.name}")
            ExitCode.SUCCESS
        }

        is SettingsOutcome.Invalid -> {
            reportSettingsErrors(outcome, console)
        }
    }

/** Writes each settings error on its own line and returns the exit code for invalid settings. */
internal fun reportSettingsErrors(
    outcome: SettingsOutcome.Invalid,
    console: Console,
): ExitCode {
    outcome.faults.forEach { fault -> console.printError(fault.toString()) }
    return ExitCode.USAGE_ERROR
}
