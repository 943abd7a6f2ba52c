package org.mulberrypin.command

import org.mulberrypin.runtime.settings.SettingsOutcome
import org.mulberrypin.runtime.settings.readEntrySettings
import java.nio.file.Path

internal val checkSettingsCommand: Command =
    command(
        "check-settings",
        "Checks settings files and reports all their faults.",
        ::CheckSettingsOptions,
        ::checkFiles,
    )

private fun checkFiles(
    options: CheckSettingsOptions,
    console: Console,
): ExitCode {
    val results = options.files.map { file -> checkFile(Path.of(file), console) }
    return if (results.all { it == ExitCode.GOOD }) ExitCode.GOOD else ExitCode.WRONG_USAGE
}

private fun checkFile(
    file: Path,
    console: Console,
): ExitCode =
    when (val outcome = readEntrySettings(file)) {
        is SettingsOutcome.Valid -> {
            console.answer("$file: good, instance ${outcome.settings.instance.name}")
            ExitCode.GOOD
        }

        is SettingsOutcome.Faulty -> {
            reportFaults(outcome, console)
        }
    }

/** Writes every fault on a line of its own. */
internal fun reportFaults(
    outcome: SettingsOutcome.Faulty,
    console: Console,
): ExitCode {
    outcome.faults.forEach { fault -> console.complain(fault.toString()) }
    return ExitCode.WRONG_USAGE
}
