package org.mulberrypin.command.processes

import java.io.File
import java.io.IOException
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

    val isAlive: Boolean
        get() = process.isAlive

    fun hangUp() = signal("HUP")

    fun freeze() = signal("STOP")

    fun thaw() = signal("CONT")

    /** Asks the process to shut down gracefully and answers whether it ended in time. */
    fun terminate(): Boolean {
        process.destroy()
        return process.waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    private fun signal(name: String) = process.signal(name)

    internal companion object {
        private const val END_SECONDS = 60L
        private const val READY_SECONDS = 120L
        private const val READY_MARK = "ready at "

        /** Starts the program with [arguments] and waits until it says that it is ready. */
        fun start(vararg arguments: String): ProgramProcess = startUntil(READY_MARK, *arguments)

        /** Starts the program with [arguments] and waits for a line with [mark], which an address follows. */
        fun startUntil(
            mark: String,
            vararg arguments: String,
        ): ProgramProcess {
            val process = ProcessBuilder(programCommand(arguments.toList())).redirectErrorStream(true).start()
            val address = CompletableFuture<String>()
            val reader =
                Thread { readOutput(process, mark, address) }
            reader.isDaemon = true
            reader.start()
            return ProgramProcess(process, address.get(READY_SECONDS, TimeUnit.SECONDS))
        }

        private fun readOutput(
            process: Process,
            mark: String,
            address: CompletableFuture<String>,
        ) = try {
            val lines = process.inputReader().lineSequence()
            lines.forEach { if (mark in it) address.complete(it.substringAfter(mark).takeWhile(::isOfAddress)) }
        } catch (_: IOException) {
            address.completeExceptionally(IllegalStateException("The process was ended."))
            Unit
        }

        private fun isOfAddress(character: Char) = character.isLetterOrDigit() || character in ".:-"
    }
}

/** The command line that runs the program with [arguments], and the virtual machine with [options]. */
internal fun programCommand(
    arguments: List<String>,
    options: List<String> = emptyList(),
): List<String> {
    val java = File(System.getProperty("java.home"), "bin/java").path
    val usual = listOf("-Xmx160m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"))
    return listOf(java) + usual + options + "org.mulberrypin.command.MainKt" + arguments
}

internal fun Process.signal(name: String) {
    ProcessBuilder("kill", "-$name", pid().toString()).start().waitFor()
}
