package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonPrimitive

/** A key with its value, or its default where the file has no acceptable value. */
internal data class CheckedField(
    val property: String,
    val value: JsonPrimitive?,
    val faults: List<SettingsFault>,
)
