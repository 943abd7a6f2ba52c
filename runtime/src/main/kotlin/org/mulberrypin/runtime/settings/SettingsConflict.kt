package org.mulberrypin.runtime.settings

/**
 * A violated constraint between keys.
 *
 * @property keys the keys that the constraint compares; the fault is located at the first of them that the file sets
 * @property found the conflicting values
 * @property expected the constraint
 */
public data class SettingsConflict(
    val keys: List<SettingsKey>,
    val found: String,
    val expected: String,
)

/** Checks the constraints between keys, after each value was checked by itself. */
public typealias SettingsRules<Settings> = (Settings) -> List<SettingsConflict>
