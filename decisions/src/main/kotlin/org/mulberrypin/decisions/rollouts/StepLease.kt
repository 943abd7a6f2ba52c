package org.mulberrypin.decisions.rollouts

/**
 * The lease under which this instance holds a step. Every write of the step is conditional on [rowVersion], so that the
 * table service rejects writes under a lease that another instance has taken over.
 *
 * @property rowVersion version of the lease's row after this instance wrote it
 * @property fencingNumber increases with each change of holder; part of the names of samples and objects
 */
public data class StepLease(
    val rowVersion: Long,
    val fencingNumber: Long,
)
