package org.mulberrypin.command

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.settings.SettingsFaultKind
import org.mulberrypin.runtime.settings.SettingsOutcome
import org.mulberrypin.runtime.settings.readEntrySettings
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.nio.charset.StandardCharsets
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readLines

@DisplayName("Command check-settings")
class CheckSettingsTest {
    private val examples = Path.of(System.getProperty("mulberrypin.root"), "examples")
    private val brokenFiles = examples.resolve("broken").listDirectoryEntries("*.ini")

    @Test
    fun `reports for each broken example the errors listed in its last lines`() {
        expectThat(brokenFiles).isNotEmpty()
        brokenFiles.forEach { file ->
            val run = run(listOf("check-settings", "--settings", file.toString()))
            val reported = run.errors.map { it.replace(file.toString(), file.name) }
            expectThat(reported).describedAs(file.name).isEqualTo(expectedFaults(file))
            expectThat(run.exitCode).describedAs(file.name).isEqualTo(ExitCode.USAGE_ERROR)
        }
    }

    @Test
    fun `has a broken example for each kind of settings error`() {
        val kinds = brokenFiles.flatMap { (readEntrySettings(it) as SettingsOutcome.Invalid).faults }.map { it.kind }
        expectThat(kinds.toSet()).isEqualTo(SettingsFaultKind.entries.toSet())
    }

    @Test
    fun `accepts the settings of both example networks`() {
        val files = listOf("kerbrat", "kartenhaus").flatMap { examples.resolve(it).listDirectoryEntries("*.ini") }
        val run = run(listOf("check-settings", "--settings") + files.map(Path::toString))
        expectThat(run.errors).isEqualTo(emptyList())
        expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
    }

    @Test
    fun `reports a missing file`() {
        val run = run(listOf("check-settings", "--settings", "missing.ini"))
        expectThat(run.errors)
            .containsExactly("missing.ini: found no file, expected a readable INI file in UTF-8")
        expectThat(run.exitCode).isEqualTo(ExitCode.USAGE_ERROR)
    }

    private fun expectedFaults(file: Path): List<String> =
        file
            .readLines(StandardCharsets.ISO_8859_1)
            .filter { it.startsWith(EXPECTED_FAULT_PREFIX) }
            .map { it.removePrefix(EXPECTED_FAULT_PREFIX) }

    private companion object {
        const val EXPECTED_FAULT_PREFIX = "; expected fault: "
    }
}
