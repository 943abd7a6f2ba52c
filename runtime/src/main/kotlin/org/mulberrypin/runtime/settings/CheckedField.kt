package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonPrimitive

/**
 * The result of checking one key.
 *
 * @property property name of the property of the generated data class
 * @property value the valid value from the file, else the default; null without either
 * @property faults the faults of the key; empty for a valid key
 */
internal data class CheckedField(
    val property: String,
    val value: JsonPrimitive?,
    val faults: List<SettingsFault>,
)
