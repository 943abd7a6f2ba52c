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

@DisplayName("The command check-settings")
class CheckSettingsTest {
    private val examples = Path.of(System.getProperty("mulberrypin.root"), "examples")
    private val brokenFiles = examples.resolve("broken").listDirectoryEntries("*.ini")

    @Test
    fun `states for each broken example the faults that its last lines name`() {
        expectThat(brokenFiles).isNotEmpty()
        brokenFiles.forEach { file ->
            val run = run(listOf("check-settings", "--settings", file.toString()))
            val found = run.complaints.map { it.replace(file.toString(), file.name) }
            expectThat(found).describedAs(file.name).isEqualTo(expectedFaults(file))
            expectThat(run.exitCode).describedAs(file.name).isEqualTo(ExitCode.WRONG_USAGE)
        }
    }

    @Test
    fun `has an example for each kind of fault`() {
        val kinds = brokenFiles.flatMap { (readEntrySettings(it) as SettingsOutcome.Faulty).faults }.map { it.kind }
        expectThat(kinds.toSet()).isEqualTo(SettingsFaultKind.entries.toSet())
    }

    @Test
    fun `finds the settings of both users good`() {
        val files = listOf("kerbrat", "kartenhaus").flatMap { examples.resolve(it).listDirectoryEntries("*.ini") }
        val run = run(listOf("check-settings", "--settings") + files.map(Path::toString))
        expectThat(run.complaints).isEqualTo(emptyList())
        expectThat(run.exitCode).isEqualTo(ExitCode.GOOD)
    }

    @Test
    fun `reports a file that is missing`() {
        val run = run(listOf("check-settings", "--settings", "missing.ini"))
        expectThat(run.complaints)
            .containsExactly("missing.ini: found no file, expected a readable INI file in UTF-8")
        expectThat(run.exitCode).isEqualTo(ExitCode.WRONG_USAGE)
    }

    private fun expectedFaults(file: Path): List<String> =
        file
            .readLines(StandardCharsets.ISO_8859_1)
            .filter { it.startsWith(EXPECTED_MARK) }
            .map { it.removePrefix(EXPECTED_MARK) }

    private companion object {
        const val EXPECTED_MARK = "; expected fault: "
    }
}
