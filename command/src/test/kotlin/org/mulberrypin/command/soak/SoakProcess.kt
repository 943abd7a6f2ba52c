package org.mulberrypin.command.soak

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
        process = ProcessBuilder(commandLine()).redirectErrorStream(true).redirectOutput(output).start()
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
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor()
    }

    private fun commandLine(): List<String> {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val options = listOf("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
            listOf("-Dlog4j2.configurationFile=logs-deployment.xml", "-cp", System.getProperty("java.class.path"))
        return listOf(java) + options +
            listOf("org.mulberrypin.command.MainKt", "entry", "--settings", settings.toString())
    }

    private companion object {
        private const val CALLERS = "callers="
        private const val GRACE_SECONDS = 8L
    }
}
