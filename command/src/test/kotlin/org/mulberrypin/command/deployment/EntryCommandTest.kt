package org.mulberrypin.command.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.command.Console
import org.mulberrypin.command.ExitCode
import org.mulberrypin.command.allCommands
import org.mulberrypin.command.runCommandLine
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.nio.file.Files

class EntryCommandTest {
    @Test
    fun `exits with an error when its address is in use`() {
        ServerSocket(0).use { occupied ->
            val file = Files.createTempFile("entry", ".json")
            val address = "127.0.0.1:${occupied.localPort}"
            Files.writeString(
                file,
                """{"nodeName":"entry-1","ip":"127.0.0.1","zone":"a",""" +
                    """"bind":{"front":"$address","ready":"127.0.0.1:0"},"platform":{"address":"127.0.0.1:9"}}""",
            )
            val errors = ArrayList<String>()
            val console = Console(printLine = {}, printError = { errors.add(it) })
            val code = runCommandLine(listOf("entry", "--settings", file.toString()), allCommands, console)
            expectThat(code).isEqualTo(ExitCode.FAILED)
            expectThat(errors).any { contains("start failed") }
        }
    }

    @Test
    fun `reports a key that is missing from the settings file`() {
        val file = Files.createTempFile("entry", ".json")
        Files.writeString(file, "{}")
        val errors = ArrayList<String>()
        val console = Console(printLine = {}, printError = { errors.add(it) })
        val code = runCommandLine(listOf("entry", "--settings", file.toString()), allCommands, console)
        expectThat(code).isEqualTo(ExitCode.USAGE_ERROR)
        expectThat(errors).any { contains("expected a text at nodeName") }
    }
}
