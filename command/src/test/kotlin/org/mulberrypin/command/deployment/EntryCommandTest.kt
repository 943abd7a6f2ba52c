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
    fun `ends with an error when it cannot listen at its address`() {
        ServerSocket(0).use { taken ->
            val file = Files.createTempFile("entry", ".json")
            val address = "127.0.0.1:${taken.localPort}"
            Files.writeString(
                file,
                """{"nodeName":"entry-1","ip":"127.0.0.1","zone":"a",""" +
                    """"bind":{"front":"$address","ready":"127.0.0.1:0"},"platform":{"address":"127.0.0.1:9"}}""",
            )
            val complaints = ArrayList<String>()
            val console = Console(answer = {}, complain = { complaints.add(it) })
            val code = runCommandLine(listOf("entry", "--settings", file.toString()), allCommands, console)
            expectThat(code).isEqualTo(ExitCode.FAILED)
            expectThat(complaints).any { contains("start failed") }
        }
    }

    @Test
    fun `says what it expected in a settings file`() {
        val file = Files.createTempFile("entry", ".json")
        Files.writeString(file, "{}")
        val complaints = ArrayList<String>()
        val console = Console(answer = {}, complain = { complaints.add(it) })
        val code = runCommandLine(listOf("entry", "--settings", file.toString()), allCommands, console)
        expectThat(code).isEqualTo(ExitCode.WRONG_USAGE)
        expectThat(complaints).any { contains("expected a text at nodeName") }
    }
}
