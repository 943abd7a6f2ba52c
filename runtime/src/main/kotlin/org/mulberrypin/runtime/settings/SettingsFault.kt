package org.mulberrypin.runtime.settings

/**
 * One thing that is wrong with a settings file.
 *
 * @property found what stands in the file, or "nothing"
 * @property expected what the schema asks for
 */
public data class SettingsFault(
    val kind: SettingsFaultKind,
    val place: SettingsPlace,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$place: found $found, expected $expected"
}
