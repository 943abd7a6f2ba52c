package org.mulberrypin.runtime.settings

/**
 * A rule between keys that does not hold.
 *
 * @property keys the keys that the rule compares; the fault is reported at the first one
 */
public data class SettingsConflict(
    val keys: List<SettingsKey>,
    val found: String,
    val expected: String,
)

/** Checks rules between keys, after each value was checked by itself. */
public typealias SettingsRules<Settings> = (Settings) -> List<SettingsConflict>
