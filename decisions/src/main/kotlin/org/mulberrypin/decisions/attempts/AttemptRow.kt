package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptRecord

/** A stored record with its row key and row version in the table service. */
public data class AttemptRow(
    val key: String,
    val version: Long,
    val record: AttemptRecord,
)
