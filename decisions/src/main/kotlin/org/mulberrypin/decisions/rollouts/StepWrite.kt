package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRecord

/**
 * A change of a step's record, conditional on the lease and on the record's version. Repeating it unchanged is
 * harmless: its object is written under a name of its own, and the second commit conflicts with the first.
 *
 * @property leaseVersion version of the lease's row that must still stand
 * @property recordVersion version of the record's row that must still stand
 * @property batch the batch to write as an object before the commit; null when the record freezes none
 */
public data class StepWrite(
    val key: StepKey,
    val leaseVersion: Long,
    val recordVersion: Long,
    val record: StepRecord,
    val batch: Batch?,
)
