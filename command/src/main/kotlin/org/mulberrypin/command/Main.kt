/**
 * The entry point of the program `mulberrypin`, which runs entry instances, operator commands and stand-ins.
 */
package org.mulberrypin.command

import kotlin.system.exitProcess

/** Runs the command named by [arguments] and exits the process with its exit code. */
public fun main(arguments: Array<String>) {
    val exitCode = runCommandLine(arguments.toList(), allCommands, processConsole())
    exitProcess(exitCode.code)
}
