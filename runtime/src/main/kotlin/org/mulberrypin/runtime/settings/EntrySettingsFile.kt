package org.mulberrypin.runtime.settings

import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.entrySettingsSections
import java.nio.file.Path

/** Reads the settings file of an entry instance and validates it against the schema and the rules between keys. */
public fun readEntrySettings(path: Path): SettingsOutcome<EntrySettings> =
    readSettingsFile(path, entrySettingsSections, EntrySettings.serializer(), ::checkEntrySettings)

/** Parses and validates the settings of an entry instance from [content]; faults report [file] as the file name. */
public fun parseEntrySettings(
    file: String,
    content: String,
): SettingsOutcome<EntrySettings> =
    parseSettings(file, content, entrySettingsSections, EntrySettings.serializer(), ::checkEntrySettings)
