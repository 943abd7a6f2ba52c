package org.mulberrypin.decisions.billing

/**
 * A row of the table service with its content.
 *
 * @property version version of the row; 0 stands for a missing row
 */
public data class UsageRow<out Value>(
    val version: Long,
    val value: Value,
)
