package org.mulberrypin.runtime.settings

/** Identifies a key of a settings file by section and name. */
public data class SettingsKey(
    val section: String,
    val key: String,
)
