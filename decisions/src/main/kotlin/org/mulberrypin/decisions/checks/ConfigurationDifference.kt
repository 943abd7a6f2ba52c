package org.mulberrypin.decisions.checks

/**
 * A difference between two versions of a configuration.
 *
 * @property place the entry, and the field if the entry is in both versions
 * @property before value in the version in force; null if the entry is new
 * @property after value in the other version; null if the entry is removed
 */
public data class ConfigurationDifference(
    val place: String,
    val before: String?,
    val after: String?,
)
