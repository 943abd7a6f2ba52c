package org.mulberrypin.decisions.rollouts

/**
 * A lease under which this instance holds a step. Every write about the step is conditional on [rowVersion], so a write
 * under a lease that has passed to another instance is refused by the table service.
 *
 * @property rowVersion version of the lease's row as this instance wrote it
 * @property fencingNumber grows with each change of holder; part of the names of samples and objects
 */
public data class StepLease(
    val rowVersion: Long,
    val fencingNumber: Long,
)
