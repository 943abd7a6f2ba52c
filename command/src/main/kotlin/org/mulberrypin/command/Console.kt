package org.mulberrypin.command

/**
 * The output streams of a command.
 *
 * @property printLine writes a line of the command's result
 * @property printError writes a line of an error message
 */
public data class Console(
    val printLine: (String) -> Unit,
    val printError: (String) -> Unit,
)

/** Creates a console that writes to standard output and standard error. */
public fun processConsole(): Console = Console(printLine = ::println, printError = System.err::println)
