package org.mulberrypin.runtime.settings

/** One key as it stands in a settings file; repeated keys give several entries. */
internal data class SettingsEntry(
    val place: SettingsPlace,
    val value: String,
)
