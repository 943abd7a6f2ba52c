package org.mulberrypin.decisions.rollouts

/**
 * A record with the version of the table row that contains it.
 *
 * @property version version of the row, on which a later write is conditional
 */
public data class Versioned<out Record>(
    val version: Long,
    val record: Record,
)
