package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonObject

/**
 * What the check of a file against the schema found.
 *
 * @property tree the accepted values and the defaults under the property names of the generated data classes
 */
internal data class CheckedSettings(
    val tree: JsonObject,
    val faults: List<SettingsFault>,
)
