package org.mulberrypin.schema

/**
 * One key of a settings file, generated from the schema.
 *
 * @property key the key as it stands in the file
 * @property property name of the property of the generated data class
 * @property kind how the value is written
 * @property unit unit of the value, or the accepted words separated by a bar; empty for neither
 * @property minimum smallest accepted value; empty for no bound
 * @property maximum largest accepted value; empty for no bound
 * @property defaultValue value taken when the key is missing
 * @property help one sentence for the settings reference
 * @property required true when the key must stand in the file
 */
public data class SettingsField(
    val key: String,
    val property: String,
    val kind: SettingsFieldKind,
    val unit: String,
    val minimum: String,
    val maximum: String,
    val defaultValue: String,
    val help: String,
    val required: Boolean,
)
