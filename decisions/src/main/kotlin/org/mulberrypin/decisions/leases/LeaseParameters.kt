package org.mulberrypin.decisions.leases

import kotlin.math.ceil

/**
 * Parameters with which one process contends for one lease.
 *
 * @property name key of the lease's row in the table service
 * @property candidate name of the contending instance
 * @property incarnation number that differs for each start of the instance
 * @property durationMilliseconds validity of the lease after a renewal
 * @property renewalMilliseconds interval between renewals, and between reads by a process that does not hold the lease
 * @property clockRateBound maximum relative difference between the rates of two clocks
 * @property responseTimeoutMilliseconds timeout of a response from the table service
 * @property acquisitionDelayMilliseconds delay before this process acquires a free lease, so that not all processes try
 * at once
 */
public data class LeaseParameters(
    val name: String,
    val candidate: String,
    val incarnation: Long,
    val durationMilliseconds: Long,
    val renewalMilliseconds: Long,
    val clockRateBound: Double,
    val responseTimeoutMilliseconds: Long,
    val acquisitionDelayMilliseconds: Long = 0,
) {
    /** Time for which a renewal is valid to the holder, from just before sending it, on the holder's clock. */
    val validityMilliseconds: Long
        get() = (durationMilliseconds * (1 - clockRateBound)).toLong()

    /** Time after which another process may take the lease if a row granting [grantedMilliseconds] is unchanged. */
    public fun expiryMilliseconds(grantedMilliseconds: Long): Long =
        ceil(grantedMilliseconds * (1 + clockRateBound)).toLong() + CLOCK_RESOLUTION_MILLISECONDS

    private companion object {
        /** Upper bound of the error of an interval measured on a clock with millisecond resolution. */
        private const val CLOCK_RESOLUTION_MILLISECONDS = 1L
    }
}
