/**
 * Reads settings files. A file is an INI file; the schema states its sections, its keys, their units, ranges and
 * defaults. All faults of a file are reported together, so that one look at the report mends the whole file.
 */
package org.mulberrypin.runtime.settings

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json
import org.apache.commons.configuration2.ex.ConfigurationException
import org.mulberrypin.schema.SettingsSection
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/**
 * Reads the settings file at [path].
 *
 * @param sections the generated table of the sections and keys that the file may hold
 * @param serializer the serializer of the generated data class that the file describes
 * @param rules checks between keys; a rule that compares a faulty key is passed over
 */
public fun <Settings> readSettingsFile(
    path: Path,
    sections: List<SettingsSection>,
    serializer: DeserializationStrategy<Settings>,
    rules: SettingsRules<Settings> = { emptyList() },
): SettingsOutcome<Settings> =
    try {
        parseSettings(path.toString(), Files.readString(path), sections, serializer, rules)
    } catch (failure: IOException) {
        unreadable(path, failure)
    } catch (failure: ConfigurationException) {
        unreadable(path, failure)
    }

/**
 * Reads settings from [content], the text of a file named [file]. Takes the same sections, serializer and rules as
 * [readSettingsFile].
 */
public fun <Settings> parseSettings(
    file: String,
    content: String,
    sections: List<SettingsSection>,
    serializer: DeserializationStrategy<Settings>,
    rules: SettingsRules<Settings> = { emptyList() },
): SettingsOutcome<Settings> {
    val text = readSettingsText(file, content)
    val checked = checkSettings(file, text, sections)
    val settings = settingsJson.decodeFromJsonElement(serializer, checked.tree)
    val faults = checked.faults + conflictFaults(file, text, checked.faults, rules(settings))
    return when {
        faults.isEmpty() -> SettingsOutcome.Valid(settings)
        else -> SettingsOutcome.Faulty(faults.sortedBy { it.place.line })
    }
}

private fun conflictFaults(
    file: String,
    text: SettingsText,
    faults: List<SettingsFault>,
    conflicts: List<SettingsConflict>,
): List<SettingsFault> {
    val faultyKeys = faults.map { SettingsKey(it.place.section, it.place.key) }.toSet()
    return conflicts
        .filter { conflict -> conflict.keys.none { it in faultyKeys } }
        .map { conflict ->
            val place = conflict.keys.firstNotNullOfOrNull { key -> text.placeOf(key) }
                ?: SettingsPlace(file, line = 0, conflict.keys.first().section, conflict.keys.first().key)
            SettingsFault(SettingsFaultKind.CONFLICT, place, conflict.found, conflict.expected)
        }
}

private fun SettingsText.placeOf(key: SettingsKey): SettingsPlace? =
    entries.map(SettingsEntry::place).firstOrNull { it.section == key.section && it.key == key.key }

private fun unreadable(
    path: Path,
    failure: Exception,
): SettingsOutcome<Nothing> {
    val place = SettingsPlace(path.toString(), line = 0, section = "", key = "")
    val found = when (failure) {
        is NoSuchFileException -> "no file"
        is CharacterCodingException -> "text in another encoding"
        else -> failure.toString()
    }
    val expected = "a readable INI file in UTF-8"
    return SettingsOutcome.Faulty(listOf(SettingsFault(SettingsFaultKind.UNREADABLE_FILE, place, found, expected)))
}

private val settingsJson = Json
