package org.mulberrypin.command

/** What a command answered and how it ended. */
internal data class CommandRunRecord(
    val exitCode: ExitCode,
    val answers: List<String>,
    val complaints: List<String>,
)

/** Runs the command line [arguments] and records what it writes. */
internal fun run(arguments: List<String>): CommandRunRecord {
    val answers = mutableListOf<String>()
    val complaints = mutableListOf<String>()
    val exitCode = runCommandLine(arguments, allCommands, Console(answers::add, complaints::add))
    return CommandRunRecord(exitCode, answers, complaints)
}
