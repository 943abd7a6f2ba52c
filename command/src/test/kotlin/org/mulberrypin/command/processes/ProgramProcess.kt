package org.mulberrypin.command.processes

import java.io.File
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * The program running in a separate process.
 *
 * @property address the address, as host:port, that the process printed when it was ready
 */
internal class ProgramProcess(
    private val process: Process,
    val address: String,
) {
    /** Kills the process without a graceful shutdown and waits until it has ended. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    val isAlive: Boolean
        get() = process.isAlive

    /** Sends SIGHUP, which makes an entry instance reload its settings. */
    fun sendHangup() = signal("HUP")

    /** Suspends the process with SIGSTOP. */
    fun suspendProcess() = signal("STOP")

    /** Resumes the process with SIGCONT. */
    fun resumeProcess() = signal("CONT")

    /** Sends SIGTERM and returns whether the process ended within [TERMINATION_SECONDS]. */
    fun terminate(): Boolean {
        process.destroy()
        return process.waitFor(TERMINATION_SECONDS, TimeUnit.SECONDS)
    }

    private fun signal(name: String) = process.signal(name)

    internal companion object {
        private const val TERMINATION_SECONDS = 60L
        private const val READY_SECONDS = 120L
        private const val READY_MARK = "ready at "

        /** Starts the program with [arguments] and waits until it prints that it is ready. */
        fun start(vararg arguments: String): ProgramProcess = startUntil(READY_MARK, *arguments)

        /** Starts the program with [arguments] and waits for a line that contains [mark] followed by an address. */
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
            lines.forEach { if (mark in it) address.complete(it.substringAfter(mark).takeWhile(::isAddressCharacter)) }
        } catch (_: IOException) {
            address.completeExceptionally(IllegalStateException("The process ended before it printed its address."))
            Unit
        }

        private fun isAddressCharacter(character: Char) = character.isLetterOrDigit() || character in ".:-"
    }
}

/**
 * Returns the command line that runs the program with [arguments] on a JVM with the additional [options];
 * `-Dentry.class.path` selects another build of the program.
 */
internal fun programCommand(
    arguments: List<String>,
    options: List<String> = emptyList(),
): List<String> {
    val java = File(System.getProperty("java.home"), "bin/java").path
    val classPath = System.getProperty("entry.class.path") ?: System.getProperty("java.class.path")
    val defaultOptions = listOf("-Xmx160m", "-XX:+UseSerialGC", "-cp", classPath)
    return listOf(java) + defaultOptions + options + "org.mulberrypin.command.MainKt" + arguments
}

/** Sends the signal [name], such as "HUP", to the process. */
internal fun Process.signal(name: String) {
    ProcessBuilder("kill", "-$name", pid().toString()).start().waitFor()
}
