package org.mulberrypin.decisions.checks

/**
 * An entry of a configuration in the form in which versions are compared.
 *
 * @property place kind and name of the entry, such as "route 'orders'"
 * @property fields values of its fields as text, by field name; secrets as digests
 */
public data class ConfigurationEntry(
    val place: String,
    val fields: Map<String, String>,
)
