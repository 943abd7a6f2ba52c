/** Checks a file against the schema: every key of the schema, and any other sections and keys in the file. */
package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.mulberrypin.schema.SettingsField
import org.mulberrypin.schema.SettingsSection

/** Checks every section and key of [parsedFile] against [sections]; [file] is the file name that faults report. */
internal fun checkSettings(
    file: String,
    parsedFile: ParsedSettingsFile,
    sections: List<SettingsSection>,
): CheckedSettings {
    val checkedFields = sections.associate { section ->
        section.name to section.fields.map { field -> checkField(file, section, field, parsedFile) }
    }
    val tree = checkedFields.mapValues { (_, fields) ->
        JsonObject(fields.mapNotNull { checked -> checked.value?.let { checked.property to it } }.toMap())
    }
    val faults = unknownEntryFaults(parsedFile, sections) + checkedFields.values.flatten().flatMap(CheckedField::faults)
    return CheckedSettings(JsonObject(tree), faults)
}

private fun checkField(
    file: String,
    section: SettingsSection,
    field: SettingsField,
    parsedFile: ParsedSettingsFile,
): CheckedField {
    val entries = parsedFile.entries.filter { it.location.section == section.name && it.location.key == field.key }
    val values = entries.map { entry -> entry to checkSettingsValue(field, entry.value) }
    val valueFaults = values.mapNotNull { (entry, value) -> (value as? SettingsValue.Rejected)?.fault(entry) }
    val accepted = values.firstNotNullOfOrNull { (_, value) -> value as? SettingsValue.Accepted }
    val faults =
        missingFaults(headerLocation(file, section, parsedFile), field, entries) + repeatedFaults(entries) + valueFaults
    return CheckedField(field.property, accepted?.primitive ?: defaultValue(field), faults)
}

private fun SettingsValue.Rejected.fault(entry: SettingsEntry): SettingsFault =
    SettingsFault(kind, entry.location, quoted(entry.value), expected)

private fun defaultValue(field: SettingsField): JsonPrimitive? =
    field.defaultValue
        .takeIf(String::isNotEmpty)
        ?.let { value -> checkSettingsValue(field, value) as? SettingsValue.Accepted }
        ?.primitive

private fun headerLocation(
    file: String,
    section: SettingsSection,
    parsedFile: ParsedSettingsFile,
): SettingsLocation =
    parsedFile.sections.firstOrNull { it.section == section.name }
        ?: SettingsLocation(file, line = 0, section.name, key = "")

private fun missingFaults(
    header: SettingsLocation,
    field: SettingsField,
    entries: List<SettingsEntry>,
): List<SettingsFault> {
    if (!field.required || entries.isNotEmpty()) return emptyList()
    val location = header.copy(key = field.key)
    return listOf(SettingsFault(SettingsFaultKind.MISSING_KEY, location, "nothing", field.describeExpected()))
}

private fun repeatedFaults(entries: List<SettingsEntry>): List<SettingsFault> =
    entries.drop(1).map { entry ->
        val expected = "each key once, but line ${entries.first().location.line} already sets it"
        SettingsFault(SettingsFaultKind.REPEATED_KEY, entry.location, quoted(entry.value), expected)
    }

/** Returns faults for sections and keys that the schema does not define. */
private fun unknownEntryFaults(
    parsedFile: ParsedSettingsFile,
    sections: List<SettingsSection>,
): List<SettingsFault> {
    val known = sections.associateBy(SettingsSection::name)
    val unknownSections = parsedFile.sections.filter { it.section !in known }.map { location ->
        val expected = "one of ${known.keys.joinToString(", ") { "[$it]" }}"
        SettingsFault(SettingsFaultKind.UNKNOWN_SECTION, location, "[${location.section}]", expected)
    }
    return unknownSections + parsedFile.entries.mapNotNull { entry -> unknownKeyFault(entry, known) }
}

private fun unknownKeyFault(
    entry: SettingsEntry,
    known: Map<String, SettingsSection>,
): SettingsFault? {
    val (location, value) = entry
    val keys = known[location.section]?.fields?.map(SettingsField::key)
    return when {
        location.section.isEmpty() -> {
            SettingsFault(SettingsFaultKind.KEY_OUTSIDE_SECTION, location, quoted(value), "every key in a section")
        }

        keys == null || location.key in keys -> {
            null
        }

        else -> {
            SettingsFault(
                SettingsFaultKind.UNKNOWN_KEY,
                location,
                quoted(location.key),
                "one of ${keys.joinToString(", ")}",
            )
        }
    }
}

private fun quoted(text: String): String = "\"$text\""
