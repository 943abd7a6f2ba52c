package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonPrimitive

/** The result of checking the value of a key: the parsed value, or the reason why the schema rejects it. */
internal sealed interface SettingsValue {
    data class Accepted(
        val primitive: JsonPrimitive,
    ) : SettingsValue

    data class Rejected(
        val kind: SettingsFaultKind,
        val expected: String,
    ) : SettingsValue
}
