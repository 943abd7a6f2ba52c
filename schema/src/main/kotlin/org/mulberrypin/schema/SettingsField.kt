package org.mulberrypin.schema

/**
 * Describes a key of a settings file. Instances are generated from the schema.
 *
 * @property key name of the key in the file
 * @property property name of the property in the generated data class
 * @property kind type of the value
 * @property unit unit of the value, or its allowed words, separated by a vertical bar; else empty
 * @property minimum smallest valid value; empty for no lower bound
 * @property maximum largest valid value; empty for no upper bound
 * @property defaultValue value used when the key is missing; empty for no default
 * @property help description for the settings reference
 * @property required true if the key must be present
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
