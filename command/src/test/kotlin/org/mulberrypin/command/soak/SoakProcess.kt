package org.mulberrypin.command.soak

import org.mulberrypin.command.processes.programCommand
import org.mulberrypin.command.processes.signal
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** An entry instance in a separate process that can be restarted; each start writes a new log file. */
internal class SoakProcess(
    private val name: String,
    private val folder: Path,
    storeAddress: String,
) {
    private val settings = folder.resolve("$name.json")
    private var starts = 0
    private var process: Process? = null
    private var log: File? = null

    init {
        Files.writeString(
            settings,
            """{"nodeName":"$name","ip":"127.0.0.1","zone":"zone-a",""" +
                """"bind":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},"bounds":{"graceS":6},""" +
                """"platform":{"address":"$storeAddress"}}""",
        )
    }

    /** Port for callers, read from the log; null until the process has logged it. */
    val port: Int?
        get() = log
            ?.takeIf { it.exists() }
            ?.useLines { lines -> lines.firstOrNull { CALLER_ADDRESS_MARK in it } }
            ?.substringAfter(CALLER_ADDRESS_MARK)
            ?.takeWhile { it.isDigit() || it in ".:" }
            ?.substringAfterLast(':')
            ?.toInt()

    /** Starts the process unless it is running. */
    @Synchronized
    fun start() {
        if (process?.isAlive == true) return
        starts++
        val output = folder.resolve("$name-$starts.log").toFile()
        log = output
        val command = programCommand(listOf("entry", "--settings", settings.toString()), JVM_OPTIONS)
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    /** Kills the process and waits until it has ended. */
    @Synchronized
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Sends SIGTERM, waits up to [GRACE_SECONDS] and kills the process if it is still running. */
    @Synchronized
    fun stop() {
        process?.destroy()
        if (process?.waitFor(GRACE_SECONDS, TimeUnit.SECONDS) == false) kill()
    }

    /** Sends [signal], such as "HUP", if the process is running. */
    fun signal(signal: String) {
        process?.takeIf { it.isAlive }?.signal(signal)
    }

    private companion object {
        private const val CALLER_ADDRESS_MARK = "callers="
        private val JVM_OPTIONS = listOf("-XX:TieredStopAtLevel=1", "-Dlog4j2.configurationFile=logs-deployment.xml")
        private const val GRACE_SECONDS = 8L
    }
}
