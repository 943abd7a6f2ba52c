package org.mulberrypin.runtime.settings

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.mulberrypin.schema.SettingsField
import org.mulberrypin.schema.SettingsFieldKind
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.entrySettingsSections
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeLines
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("A settings file")
class SettingsFileTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `with random valid values is read without changing a value`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 201), Arb.long()) { seed ->
                val values = validValues(Random(seed))
                val outcome = read(values.lines())
                val settings = expectThat(outcome).isA<SettingsOutcome.Valid<EntrySettings>>().subject.settings
                val tree = Json.encodeToJsonElement(EntrySettings.serializer(), settings).jsonObject
                values.forEach { (key, value) ->
                    val property = fieldOf(key).property
                    val actual = tree
                        .getValue(key.section)
                        .jsonObject
                        .getValue(property)
                        .jsonPrimitive.content
                    expectThat(actual.toBigDecimalOrNull() ?: actual).isEqualTo(value.toBigDecimalOrNull() ?: value)
                }
            }
        }
    }

    @Test
    fun `with one invalid value reports a single fault at its location`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 202), Arb.long(), Arb.element(restrictedKeys)) { seed, invalidKey ->
                val values = validValues(Random(seed)) + (invalidKey to invalidValue(fieldOf(invalidKey)))
                val lines = values.lines()
                val line = lines.indexOf("[${invalidKey.section}]").let { header ->
                    lines.drop(header).indexOfFirst { it.startsWith("${invalidKey.key} =") } + header + 1
                }
                val location = SettingsLocation(file.toString(), line, invalidKey.section, invalidKey.key)
                expectThat(read(lines))
                    .isA<SettingsOutcome.Invalid>()
                    .get { faults.map { it.kind to it.location } }
                    .containsExactly(faultKindOf(fieldOf(invalidKey)) to location)
            }
        }
    }

    @Test
    fun `with several invalid values reports all of them`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 203), Arb.long()) { seed ->
                val random = Random(seed)
                val invalid = restrictedKeys.filter { random.nextInt(3) == 0 }
                val lines = (validValues(random) + invalid.associateWith { invalidValue(fieldOf(it)) }).lines()
                val faults = (read(lines) as? SettingsOutcome.Invalid)?.faults.orEmpty()
                expectThat(faults.map { SettingsKey(it.location.section, it.location.key) }.toSet())
                    .isEqualTo(invalid.toSet())
            }
        }
    }

    private val file: Path
        get() = folder.resolve("entry.ini")

    private fun read(lines: List<String>): SettingsOutcome<EntrySettings> {
        file.writeLines(lines)
        return readSettingsFile(file, entrySettingsSections, EntrySettings.serializer())
    }

    private fun Map<SettingsKey, String>.lines(): List<String> =
        entries.groupBy { it.key.section }.flatMap { (section, entries) ->
            listOf("", "; keys of $section", "[$section]") + entries.map { (key, value) -> "${key.key} = $value" }
        }

    private fun fieldOf(key: SettingsKey): SettingsField =
        entrySettingsSections.first { it.name == key.section }.fields.first { it.key == key.key }

    private fun validValues(random: Random): Map<SettingsKey, String> =
        entrySettingsSections
            .flatMap { section -> section.fields.map { SettingsKey(section.name, it.key) to it } }
            .filter { (_, field) -> field.required || random.nextBoolean() }
            .associate { (key, field) -> key to validValue(field, random) }

    private fun validValue(
        field: SettingsField,
        random: Random,
    ): String =
        when {
            field.kind == SettingsFieldKind.DECIMAL -> {
                random.nextDouble(field.minimum.toDouble(), field.maximum.toDouble()).toString()
            }

            field.kind != SettingsFieldKind.TEXT -> {
                random.nextLong(field.minimum.toLong(), field.maximum.toLong() + 1).toString()
            }

            field.unit == "host:port" -> {
                "10.0.0.${random.nextInt(256)}:${random.nextInt(1, 65_536)}"
            }

            field.unit.isNotEmpty() -> {
                field.unit.split("|").random(random)
            }

            else -> {
                "name-${random.nextInt(1000)}"
            }
        }

    private fun invalidValue(field: SettingsField): String =
        when {
            field.unit == "host:port" -> "10.0.0.1:65536"
            field.kind == SettingsFieldKind.TEXT -> "other"
            field.kind == SettingsFieldKind.DECIMAL -> "${field.maximum.toDouble() + 1}"
            else -> "${field.maximum.toLong() + 1}"
        }

    private fun faultKindOf(field: SettingsField): SettingsFaultKind =
        when {
            field.unit == "host:port" -> SettingsFaultKind.WRONG_ADDRESS
            field.kind == SettingsFieldKind.TEXT -> SettingsFaultKind.UNKNOWN_WORD
            else -> SettingsFaultKind.OUTSIDE_RANGE
        }

    private val restrictedKeys: List<SettingsKey> =
        entrySettingsSections.flatMap { section ->
            section.fields
                .filter { it.kind != SettingsFieldKind.TEXT || it.unit.isNotEmpty() }
                .map { SettingsKey(section.name, it.key) }
        }
}
