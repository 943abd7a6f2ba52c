/**
 * The program `mulberrypin`: one command line for the entry instance, its operators and the stand-ins.
 */
package org.mulberrypin.command

import kotlin.system.exitProcess

/** Runs the command that [arguments] name and ends the process with its exit code. */
public fun main(arguments: Array<String>) {
    val exitCode = runCommandLine(arguments.toList(), allCommands, processConsole())
    exitProcess(exitCode.code)
}
