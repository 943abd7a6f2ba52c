package org.mulberrypin.command.soak

import org.mulberrypin.command.processes.programCommand
import org.mulberrypin.command.processes.signal
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** An entry instance as a process that is ended and started again; each start writes a log of its own. */
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

    /** Port for callers; null while the process has not said where it listens. */
    val port: Int?
        get() = log
            ?.takeIf { it.exists() }
            ?.useLines { lines -> lines.firstOrNull { CALLERS in it } }
            ?.substringAfter(CALLERS)
            ?.takeWhile { it.isDigit() || it in ".:" }
            ?.substringAfterLast(':')
            ?.toInt()

    @Synchronized
    fun start() {
        if (process?.isAlive == true) return
        starts++
        val output = folder.resolve("$name-$starts.log").toFile()
        log = output
        val command = programCommand(listOf("entry", "--settings", settings.toString()), OPTIONS)
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    @Synchronized
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks the process to end, waits, and ends it if it does not. */
    @Synchronized
    fun stop() {
        process?.destroy()
        if (process?.waitFor(GRACE_SECONDS, TimeUnit.SECONDS) == false) kill()
    }

    fun signal(signal: String) {
        process?.takeIf { it.isAlive }?.signal(signal)
    }

    private companion object {
        private const val CALLERS = "callers="
        private val OPTIONS = listOf("-XX:TieredStopAtLevel=1", "-Dlog4j2.configurationFile=logs-deployment.xml")
        private const val GRACE_SECONDS = 8L
    }
}
