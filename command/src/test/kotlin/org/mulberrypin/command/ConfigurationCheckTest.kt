package org.mulberrypin.command

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeText

@DisplayName("Command configuration check")
class ConfigurationCheckTest {
    @TempDir
    lateinit var folder: Path

    private val sound = resource("sound.json")
    private val examples = Path.of(System.getProperty("mulberrypin.root"), "examples")

    @Test
    fun `finds the fault that each of over 100 bad configurations has`() {
        val faults = resource("faults.txt").lines().filter { it.isNotEmpty() }
        expectThat(faults.size).isGreaterThanOrEqualTo(MIN_FAULTS)
        faults.forEach { line ->
            val (path, rest) = line.split(" = ", limit = 2)
            val (value, expected) = rest.split(" -> ", limit = 2)
            val changed = Json.parseToJsonElement(sound).with(path.split('.'), Json.parseToJsonElement(value))
            val run = check(write("bad.json", changed.toString()))
            expectThat(run.exitCode).describedAs(line).isEqualTo(ExitCode.FAILED)
            expectThat(run.output).describedAs(line).any { startsWith("$expected:") }
        }
    }

    @Test
    fun `finds nothing in a sound configuration`() {
        val run = check(write("sound.json", sound))
        expectThat(run.output).containsExactly("0 findings")
        expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
    }

    @Test
    fun `finds nothing in the patches of both example networks`() {
        listOf("kerbrat", "kartenhaus").forEach { network ->
            val run = check(examples.resolve(network).resolve("configuration.json"))
            expectThat(run.output.filter { it.startsWith("error") }).describedAs(network).isEqualTo(emptyList())
        }
    }

    @Test
    fun `says what differs from the version in force without showing keys`() {
        val changed = sound
            .replace("\"timeoutMs\": 2000", "\"timeoutMs\": 1500")
            .replace("\"k1\"", "\"secret\"")
            .replace("\"spare\"", "\"reserve\"")
        val run = check(write("next.json", changed), "--in-force", write("now.json", sound).toString())
        expectThat(run.output) {
            contains("changed: route 'orders'.timeout_milliseconds: from 2000 to 1500")
            any { startsWith("added: pool 'reserve'") }
            any { startsWith("removed: pool 'spare'") }
            any { startsWith("changed: team 'workshop'.keys: from digest ") }
        }
        expectThat(run.output.filter { "secret" in it }).isEqualTo(emptyList())
    }

    @Test
    fun `prints the same as JSON`() {
        val bad = write("bad.json", sound.replace("\"goalMs\": 150", "\"goalMs\": 9000"))
        val run = check(bad, "--json", "--in-force", write("now.json", sound).toString())
        val report = Json.parseToJsonElement(run.output.single()) as JsonObject
        expectThat(report.getValue("findings") as JsonArray).hasSize(1)
        expectThat(report.getValue("differences") as JsonArray).hasSize(1)
    }

    @Test
    fun `refuses a patch for another version as the service does`() {
        val patch = """{"expected_version": 3, "changes": [{"kind": "PUT", "subject": "BUDGET", "name": "total",
            "budget_cents_per_hour": 5}]}"""
        val inForce = write("now.json", """{"version": 4}""")
        val run = check(write("patch.json", patch), "--in-force", inForce.toString())
        expectThat(run.output.first())
            .isEqualTo("error: expected_version: expected 4, the version in force, found 3")
        expectThat(run.exitCode).isEqualTo(ExitCode.FAILED)
    }

    @Test
    fun `reports what it cannot read as a usage error`() {
        val missing = check(folder.resolve("missing.json"))
        val nested = check(write("nested.json", "[".repeat(NESTING)))
        val noInForce = check(write("sound.json", sound), "--in-force", folder.resolve("missing.json").toString())
        listOf(missing, nested, noInForce).forEach { expectThat(it.exitCode).isEqualTo(ExitCode.USAGE_ERROR) }
    }

    private fun check(
        file: Path,
        vararg options: String,
    ): CommandRunRecord = run(listOf("configuration", "check", file.toString()) + options)

    private fun write(
        name: String,
        text: String,
    ): Path = folder.resolve(name).also { it.writeText(text) }

    private fun resource(name: String): String =
        checkNotNull(javaClass.getResource("/configuration-check/$name")) { "no resource $name" }.readText()

    private fun JsonElement.with(
        path: List<String>,
        value: JsonElement,
    ): JsonElement {
        val step = path.firstOrNull() ?: return value
        val rest = path.drop(1)
        return when (this) {
            is JsonArray -> JsonArray(
                mapIndexed { index, item ->
                    if ("$index" ==
                        step
                    ) {
                        item.with(rest, value)
                    } else {
                        item
                    }
                },
            )

            is JsonObject -> JsonObject(this + (step to (this[step] ?: JsonObject(emptyMap())).with(rest, value)))

            else -> error("the path leads into $this")
        }
    }

    private companion object {
        private const val MIN_FAULTS = 100
        private const val NESTING = 100_000
    }
}
