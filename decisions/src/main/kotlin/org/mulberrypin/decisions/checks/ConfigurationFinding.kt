package org.mulberrypin.decisions.checks

/**
 * Something in a configuration that an operator should look at before sending it.
 *
 * @property place the entry and field, such as "route 'orders'.timeout_milliseconds"
 * @property detail what was expected and what was found
 */
public data class ConfigurationFinding(
    val kind: FindingKind,
    val place: String,
    val detail: String,
)
