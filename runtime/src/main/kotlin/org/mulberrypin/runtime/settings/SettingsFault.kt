package org.mulberrypin.runtime.settings

/**
 * An error in a settings file.
 *
 * @property found the text in the file, or "nothing"
 * @property expected what the schema or a rule between keys requires
 */
public data class SettingsFault(
    val kind: SettingsFaultKind,
    val location: SettingsLocation,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$location: found $found, expected $expected"
}
