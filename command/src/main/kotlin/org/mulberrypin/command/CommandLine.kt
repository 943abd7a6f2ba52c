/**
 * Finds the command that a command line names, parses its options and runs it. A command line that is not understood
 * runs nothing.
 */
package org.mulberrypin.command

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.StringWriter

/** Runs the command among [commands] that [arguments] name. */
public fun runCommandLine(
    arguments: List<String>,
    commands: List<Command>,
    console: Console,
): ExitCode {
    val command = commands
        .filter { arguments.take(it.words.size) == it.words }
        .maxByOrNull { it.words.size }
    return when {
        command != null -> runCommand(command, arguments.drop(command.words.size), console)
        arguments.any(helpWords::contains) -> listCommands(commands, console.answer).let { ExitCode.GOOD }
        else -> refuseUnknown(arguments, commands, console)
    }
}

private fun runCommand(
    command: Command,
    arguments: List<String>,
    console: Console,
): ExitCode {
    if (arguments.any(helpWords::contains)) {
        describe(command, console.answer)
        return ExitCode.GOOD
    }
    val run = try {
        command.prepare(arguments)
    } catch (failure: CmdLineException) {
        console.complain("$PROGRAM ${command.words.joinToString(" ")}: ${failure.message}")
        describe(command, console.complain)
        return ExitCode.WRONG_USAGE
    }
    return run(console)
}

private fun refuseUnknown(
    arguments: List<String>,
    commands: List<Command>,
    console: Console,
): ExitCode {
    val found = if (arguments.isEmpty()) "no command" else "unknown command \"${arguments.joinToString(" ")}\""
    console.complain("$PROGRAM: $found")
    listCommands(commands, console.complain)
    return ExitCode.WRONG_USAGE
}

private fun listCommands(
    commands: List<Command>,
    write: (String) -> Unit,
) {
    write("usage: $PROGRAM COMMAND [OPTIONS]")
    val width = commands.maxOf { it.words.joinToString(" ").length }
    commands.forEach { command -> write("  ${command.words.joinToString(" ").padEnd(width)}  ${command.summary}") }
    write("$PROGRAM COMMAND --help describes a command. Exit codes: 0 good, 1 failed, 2 wrong usage or settings.")
}

private fun describe(
    command: Command,
    write: (String) -> Unit,
) {
    val parser = command.parserOf()
    val options = StringWriter()
    parser.printUsage(options, null)
    write("usage: $PROGRAM ${command.words.joinToString(" ")}${singleLineUsage(parser)}")
    write(command.summary)
    options
        .toString()
        .trimEnd()
        .takeIf(String::isNotEmpty)
        ?.let(write)
}

private fun singleLineUsage(parser: CmdLineParser): String {
    val usage = StringWriter()
    parser.printSingleLineUsage(usage, null)
    return usage.toString().trimEnd()
}

internal const val PROGRAM = "mulberrypin"
private val helpWords = setOf("--help", "-h", "help")
