/**
 * Checks a whole file against the schema: each key that the schema knows, and whatever else stands in the file.
 */
package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.mulberrypin.schema.SettingsField
import org.mulberrypin.schema.SettingsSection

/** Checks every section and key of [text] against [sections]. */
internal fun checkSettings(
    file: String,
    text: SettingsText,
    sections: List<SettingsSection>,
): CheckedSettings {
    val checkedFields = sections.associate { section ->
        section.name to section.fields.map { field -> checkField(file, section, field, text) }
    }
    val tree = checkedFields.mapValues { (_, fields) ->
        JsonObject(fields.mapNotNull { checked -> checked.value?.let { checked.property to it } }.toMap())
    }
    val faults = strayFaults(text, sections) + checkedFields.values.flatten().flatMap(CheckedField::faults)
    return CheckedSettings(JsonObject(tree), faults)
}

private fun checkField(
    file: String,
    section: SettingsSection,
    field: SettingsField,
    text: SettingsText,
): CheckedField {
    val entries = text.entries.filter { it.place.section == section.name && it.place.key == field.key }
    val values = entries.map { entry -> entry to checkSettingsValue(field, entry.value) }
    val valueFaults = values.mapNotNull { (entry, value) -> (value as? SettingsValue.Refused)?.fault(entry) }
    val accepted = values.firstNotNullOfOrNull { (_, value) -> value as? SettingsValue.Accepted }
    val faults = missingFaults(headerPlace(file, section, text), field, entries) + repeatedFaults(entries) + valueFaults
    return CheckedField(field.property, accepted?.primitive ?: defaultValue(field), faults)
}

private fun SettingsValue.Refused.fault(entry: SettingsEntry): SettingsFault =
    SettingsFault(kind, entry.place, quoted(entry.value), expected)

private fun defaultValue(field: SettingsField): JsonPrimitive? =
    field.defaultValue
        .takeIf(String::isNotEmpty)
        ?.let { value -> checkSettingsValue(field, value) as? SettingsValue.Accepted }
        ?.primitive

private fun headerPlace(
    file: String,
    section: SettingsSection,
    text: SettingsText,
): SettingsPlace =
    text.sections.firstOrNull { it.section == section.name } ?: SettingsPlace(file, line = 0, section.name, key = "")

private fun missingFaults(
    header: SettingsPlace,
    field: SettingsField,
    entries: List<SettingsEntry>,
): List<SettingsFault> {
    if (!field.required || entries.isNotEmpty()) return emptyList()
    val place = header.copy(key = field.key)
    return listOf(SettingsFault(SettingsFaultKind.MISSING_KEY, place, "nothing", field.expectation()))
}

private fun repeatedFaults(entries: List<SettingsEntry>): List<SettingsFault> =
    entries.drop(1).map { entry ->
        val expected = "the key once; it stands on line ${entries.first().place.line} already"
        SettingsFault(SettingsFaultKind.REPEATED_KEY, entry.place, quoted(entry.value), expected)
    }

/** Faults of sections and keys that the schema does not know. */
private fun strayFaults(
    text: SettingsText,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = sections.associateBy(SettingsSection::name)
    val unknownSections = text.sections.filter { it.section !in known }.map { place ->
        val expected = "one of ${known.keys.joinToString(", ") { "[$it]" }}"
        SettingsFault(SettingsFaultKind.UNKNOWN_SECTION, place, "[${place.section}]", expected)
    }
    return unknownSections + text.entries.mapNotNull { entry -> strayKeyFault(entry, known) }
}

private fun strayKeyFault(
    entry: SettingsEntry,
    known: Map<String, SettingsSection>,
): SettingsFault? {
    val (place, value) = entry
    val keys = known[place.section]?.fields?.map(SettingsField::key)
    return when {
        place.section.isEmpty() -> {
            SettingsFault(SettingsFaultKind.KEY_OUTSIDE_SECTION, place, quoted(value), "every key inside a section")
        }

        keys == null || place.key in keys -> {
            null
        }

        else -> {
            SettingsFault(SettingsFaultKind.UNKNOWN_KEY, place, quoted(place.key), "one of ${keys.joinToString(", ")}")
        }
    }
}

private fun quoted(text: String): String = "\"$text\""
