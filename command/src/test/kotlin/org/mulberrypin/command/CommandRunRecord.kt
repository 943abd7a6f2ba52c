package org.mulberrypin.command

/** The exit code of a command and the lines that it wrote to standard output and standard error. */
internal data class CommandRunRecord(
    val exitCode: ExitCode,
    val output: List<String>,
    val errors: List<String>,
)

/** Runs the command line [arguments] and records what it writes. */
internal fun run(arguments: List<String>): CommandRunRecord {
    val output = mutableListOf<String>()
    val errors = mutableListOf<String>()
    val exitCode = runCommandLine(arguments, allCommands, Console(output::add, errors::add))
    return CommandRunRecord(exitCode, output, errors)
}
