package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptRecord

/** A record as the table service holds it. */
public data class AttemptRow(
    val key: String,
    val version: Long,
    val record: AttemptRecord,
)
