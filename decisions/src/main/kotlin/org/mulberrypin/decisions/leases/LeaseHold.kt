package org.mulberrypin.decisions.leases

/**
 * What a process knows about a lease that it holds. All times are of the process's own clock.
 *
 * @property fencingNumber larger than the number of every earlier holder
 * @property deadlineMilliseconds time from which the process must act as if it had lost the lease
 * @property sinceMilliseconds time at which the process learnt that it is the holder under this fencing number
 * @property rowVersion version of the lease's row, for writes that are conditional on it
 */
public data class LeaseHold(
    val name: String,
    val fencingNumber: Long,
    val deadlineMilliseconds: Long,
    val sinceMilliseconds: Long,
    val rowVersion: Long,
)

/** Tells whether a step that takes up to [longestMilliseconds] is over before the lease can be lost. */
public fun LeaseHold.covers(
    nowMilliseconds: Long,
    longestMilliseconds: Long,
): Boolean = nowMilliseconds + longestMilliseconds < deadlineMilliseconds

/**
 * Tells whether every step that an earlier holder may have begun under its lease is over.
 *
 * @param longestMilliseconds the longest such step, by any clock
 */
public fun LeaseHold.outlasted(
    nowMilliseconds: Long,
    longestMilliseconds: Long,
    clockRateBound: Double,
): Boolean = nowMilliseconds - sinceMilliseconds > longestMilliseconds * (1 + clockRateBound)
