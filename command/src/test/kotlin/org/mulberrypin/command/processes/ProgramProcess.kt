package org.mulberrypin.command.processes

import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * The program, running as a process of its own.
 *
 * @property address the address that the process named when it was ready
 */
internal class ProgramProcess(
    private val process: Process,
    val address: String,
) {
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    fun freeze() = signal("STOP")

    fun thaw() = signal("CONT")

    /** Asks the process to shut down gracefully and answers whether it ended in time. */
    fun terminate(): Boolean {
        process.destroy()
        return process.waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    internal companion object {
        private const val END_SECONDS = 60L
        private const val READY_SECONDS = 120L
        private const val READY_MARK = "ready at "

        /** Starts the program with [arguments] and waits until it says that it is ready. */
        fun start(vararg arguments: String): ProgramProcess {
            val process = ProcessBuilder(commandLine(arguments.toList())).redirectErrorStream(true).start()
            val address = CompletableFuture<String>()
            val reader =
                Thread {
                    val lines = process.inputReader().lineSequence()
                    lines.forEach { line -> if (READY_MARK in line) address.complete(line.substringAfter(READY_MARK)) }
                }
            reader.isDaemon = true
            reader.start()
            return ProgramProcess(process, address.get(READY_SECONDS, TimeUnit.SECONDS))
        }

        private fun commandLine(arguments: List<String>): List<String> {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val classPath = System.getProperty("java.class.path")
            val options = listOf("-Xmx160m", "-XX:+UseSerialGC", "-cp", classPath)
            return listOf(java) + options + "org.mulberrypin.command.MainKt" + arguments
        }
    }
}
