package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonObject

/**
 * The result of checking a file against the schema.
 *
 * @property tree the valid values and the defaults, by section and by property name of the generated data classes
 * @property faults all faults of the file
 */
internal data class CheckedSettings(
    val tree: JsonObject,
    val faults: List<SettingsFault>,
)
