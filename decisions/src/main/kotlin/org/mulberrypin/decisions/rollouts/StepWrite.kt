package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRecord

/**
 * A change of a step's record, conditional on the row versions of the lease and of the record. Repeating it unchanged
 * is safe: its object has a unique name, and the second commit conflicts with the first.
 *
 * @property leaseVersion expected version of the lease's row
 * @property recordVersion expected version of the record's row
 * @property batch the batch to write as an object before the commit; null when the record freezes none
 */
public data class StepWrite(
    val key: StepKey,
    val leaseVersion: Long,
    val recordVersion: Long,
    val record: StepRecord,
    val batch: Batch?,
)
