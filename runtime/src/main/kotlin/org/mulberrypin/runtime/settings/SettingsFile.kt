/**
 * Reads settings files in INI format. The schema defines their sections and keys with units, ranges and defaults. All
 * faults of a file are reported together, so that they can be fixed at once.
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
 * Reads and validates the settings file at [path].
 *
 * @param sections the generated table of the sections and keys that the file may contain
 * @param serializer the serializer of the generated data class for the settings
 * @param rules the constraints between keys; a violation that involves a key with another fault is not reported
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
        unreadableFile(path, failure)
    } catch (failure: ConfigurationException) {
        unreadableFile(path, failure)
    }

/**
 * Parses and validates settings from [content], the text of a file named [file]. The other parameters are those of
 * [readSettingsFile].
 */
public fun <Settings> parseSettings(
    file: String,
    content: String,
    sections: List<SettingsSection>,
    serializer: DeserializationStrategy<Settings>,
    rules: SettingsRules<Settings> = { emptyList() },
): SettingsOutcome<Settings> {
    val parsedFile = parseSettingsFile(file, content)
    val checked = checkSettings(file, parsedFile, sections)
    val settings = settingsJson.decodeFromJsonElement(serializer, checked.tree)
    val faults = checked.faults + conflictFaults(file, parsedFile, checked.faults, rules(settings))
    return when {
        faults.isEmpty() -> SettingsOutcome.Valid(settings)
        else -> SettingsOutcome.Invalid(faults.sortedBy { it.location.line })
    }
}

private fun conflictFaults(
    file: String,
    parsedFile: ParsedSettingsFile,
    faults: List<SettingsFault>,
    conflicts: List<SettingsConflict>,
): List<SettingsFault> {
    val faultyKeys = faults.map { SettingsKey(it.location.section, it.location.key) }.toSet()
    return conflicts
        .filter { conflict -> conflict.keys.none { it in faultyKeys } }
        .map { conflict ->
            val location = conflict.keys.firstNotNullOfOrNull { key -> parsedFile.locationOf(key) }
                ?: SettingsLocation(file, line = 0, conflict.keys.first().section, conflict.keys.first().key)
            SettingsFault(SettingsFaultKind.CONFLICT, location, conflict.found, conflict.expected)
        }
}

private fun ParsedSettingsFile.locationOf(key: SettingsKey): SettingsLocation? =
    entries.map(SettingsEntry::location).firstOrNull { it.section == key.section && it.key == key.key }

private fun unreadableFile(
    path: Path,
    failure: Exception,
): SettingsOutcome<Nothing> {
    val location = SettingsLocation(path.toString(), line = 0, section = "", key = "")
    val found = when (failure) {
        is NoSuchFileException -> "no file"
        is CharacterCodingException -> "bytes that are not valid UTF-8"
        else -> failure.toString()
    }
    val expected = "a readable INI file in UTF-8"
    return SettingsOutcome.Invalid(listOf(SettingsFault(SettingsFaultKind.UNREADABLE_FILE, location, found, expected)))
}

private val settingsJson = Json
