/**
 * Selects the command named by a command line, parses its options and runs it. Nothing runs if the command is unknown
 * or an option is invalid.
 */
package org.mulberrypin.command

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.StringWriter

/** Runs the one of [commands] whose name is the longest prefix of [arguments]. */
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
        arguments.any(helpFlags::contains) -> printCommandList(commands, console.printLine).let { ExitCode.SUCCESS }
        else -> reportUnknownCommand(arguments, commands, console)
    }
}

private fun runCommand(
    command: Command,
    arguments: List<String>,
    console: Console,
): ExitCode {
    if (arguments.any(helpFlags::contains)) {
        printCommandHelp(command, console.printLine)
        return ExitCode.SUCCESS
    }
    val action = try {
        command.parse(arguments)
    } catch (failure: CmdLineException) {
        console.printError("$PROGRAM ${command.words.joinToString(" ")}: ${failure.message}")
        printCommandHelp(command, console.printError)
        return ExitCode.USAGE_ERROR
    }
    return action(console)
}

private fun reportUnknownCommand(
    arguments: List<String>,
    commands: List<Command>,
    console: Console,
): ExitCode {
    val found = if (arguments.isEmpty()) "no command" else "unknown command \"${arguments.joinToString(" ")}\""
    console.printError("$PROGRAM: $found")
    printCommandList(commands, console.printError)
    return ExitCode.USAGE_ERROR
}

private fun printCommandList(
    commands: List<Command>,
    write: (String) -> Unit,
) {
    write("usage: $PROGRAM COMMAND [OPTIONS]")
    val width = commands.maxOf { it.words.joinToString(" ").length }
    commands.forEach { command -> write("  ${command.words.joinToString(" ").padEnd(width)}  ${command.summary}") }
    write("$PROGRAM COMMAND --help shows its options. Exit codes: 0 success, 1 failure, 2 invalid usage or settings.")
}

private fun printCommandHelp(
    command: Command,
    write: (String) -> Unit,
) {
    val parser = command.createParser()
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
private val helpFlags = setOf("--help", "-h", "help")
