package org.mulberrypin.command

/** The exit code and the lines that a command wrote to standard output and standard error. */
internal data class CommandResult(
    val exitCode: ExitCode,
    val output: List<String>,
    val errors: List<String>,
)

/** Runs the command line [arguments] and captures its output. */
internal fun run(arguments: List<String>): CommandResult {
    val output = mutableListOf<String>()
    val errors = mutableListOf<String>()
    val exitCode = runCommandLine(arguments, allCommands, Console(output::add, errors::add))
    return CommandResult(exitCode, output, errors)
}
