package org.mulberrypin.decisions.billing

/**
 * A row of the table service with its decoded content.
 *
 * @property version version of the row; 0 if the row does not exist
 */
public data class UsageRow<out Value>(
    val version: Long,
    val value: Value,
)
