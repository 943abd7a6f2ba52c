package org.mulberrypin.command

/**
 * Where a command writes.
 *
 * @property answer writes a line that the command answers
 * @property complain writes a line about something that is wrong
 */
public data class Console(
    val answer: (String) -> Unit,
    val complain: (String) -> Unit,
)

/** Creates the console of a running process: standard output and standard error. */
public fun processConsole(): Console = Console(answer = ::println, complain = System.err::println)
