package org.mulberrypin.runtime.settings

/** A key and its value in a settings file; a repeated key results in several entries. */
internal data class SettingsEntry(
    val location: SettingsLocation,
    val value: String,
)
