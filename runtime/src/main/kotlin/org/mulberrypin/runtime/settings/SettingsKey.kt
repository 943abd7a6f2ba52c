package org.mulberrypin.runtime.settings

/** Names a key of a settings file by its section. */
public data class SettingsKey(
    val section: String,
    val key: String,
)
