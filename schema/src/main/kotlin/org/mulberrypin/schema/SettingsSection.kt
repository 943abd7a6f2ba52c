package org.mulberrypin.schema

/**
 * One section of a settings file, generated from the schema.
 *
 * @property name name of the section as it stands in the file
 * @property help what the section is about
 * @property fields the keys that the section may hold
 */
public data class SettingsSection(
    val name: String,
    val help: String,
    val fields: List<SettingsField>,
)
