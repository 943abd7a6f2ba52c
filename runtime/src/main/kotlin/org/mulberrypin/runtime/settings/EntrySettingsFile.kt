package org.mulberrypin.runtime.settings

import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.entrySettingsSections
import java.nio.file.Path

/** Reads the settings file of an entry instance and checks it against the schema and the rules between keys. */
public fun readEntrySettings(path: Path): SettingsOutcome<EntrySettings> =
    readSettingsFile(path, entrySettingsSections, EntrySettings.serializer(), ::checkEntrySettings)

/** Reads the settings of an entry instance from [content], the text of a file named [file]. */
public fun parseEntrySettings(
    file: String,
    content: String,
): SettingsOutcome<EntrySettings> =
    parseSettings(file, content, entrySettingsSections, EntrySettings.serializer(), ::checkEntrySettings)
