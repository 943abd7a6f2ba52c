package org.mulberrypin.command.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.command.Console
import org.mulberrypin.command.ExitCode
import org.mulberrypin.command.allCommands
import org.mulberrypin.command.runCommandLine
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.nio.file.Path

/** Tests the rehearsal that the build runs. */
class RehearseCommandTest {
    private val errors = ArrayList<String>()
    private val console = Console(printLine = {}, printError = errors::add)
    private val settings = Path.of(System.getProperty("mulberrypin.root"), "deploy", "rehearsal.json").toString()

    @Test
    fun `serves requests, a job and a new weight version against stand-ins`() {
        val exitCode = run("--settings", settings)
        expectThat(errors).isEqualTo(ArrayList())
        expectThat(exitCode).isEqualTo(ExitCode.SUCCESS)
    }

    @Test
    fun `ends by itself when it takes longer than its limit`() {
        expectThat(run("--settings", settings, "--limit-milliseconds", "1")).isEqualTo(ExitCode.FAILED)
        expectThat(errors).single().contains("longer than 1 ms")
    }

    @Test
    fun `names what failed`() {
        expectThat(run("--settings", "none.json")).isEqualTo(ExitCode.FAILED)
        expectThat(errors).single().contains("none.json")
    }

    private fun run(vararg arguments: String): ExitCode =
        runCommandLine(listOf("rehearse") + arguments, allCommands, console)
}
