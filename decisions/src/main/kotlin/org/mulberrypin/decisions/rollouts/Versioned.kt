package org.mulberrypin.decisions.rollouts

/**
 * A record with the version of the row that holds it.
 *
 * @property version version of the row, by which a later write is made conditional
 */
public data class Versioned<out Record>(
    val version: Long,
    val record: Record,
)
