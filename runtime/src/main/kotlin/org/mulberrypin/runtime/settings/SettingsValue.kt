package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonPrimitive

/** A value that the schema accepts, or why it does not. */
internal sealed interface SettingsValue {
    data class Accepted(
        val primitive: JsonPrimitive,
    ) : SettingsValue

    data class Refused(
        val kind: SettingsFaultKind,
        val expected: String,
    ) : SettingsValue
}
