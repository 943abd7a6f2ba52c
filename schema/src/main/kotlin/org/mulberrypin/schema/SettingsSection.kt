package org.mulberrypin.schema

/**
 * Describes a section of a settings file. Instances are generated from the schema.
 *
 * @property name name of the section in the file
 * @property help description of the section
 * @property fields the keys that the section may contain
 */
public data class SettingsSection(
    val name: String,
    val help: String,
    val fields: List<SettingsField>,
)
