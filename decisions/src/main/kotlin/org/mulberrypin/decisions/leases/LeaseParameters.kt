package org.mulberrypin.decisions.leases

import kotlin.math.ceil

/**
 * Parameters with which one process contends for one lease.
 *
 * @property name key of the lease's row in the table service
 * @property candidate name of the contending instance
 * @property incarnation number that differs for each start of the instance
 * @property durationMilliseconds validity of the lease after a renewal
 * @property renewalMilliseconds interval between renewals, and the shortest interval between reads by a process that
 * does not hold the lease
 * @property clockRateBound maximum relative difference between the rates of two clocks
 * @property responseTimeoutMilliseconds timeout of a response from the table service
 * @property acquisitionDelayMilliseconds delay before this process acquires a free lease, so that not all processes try
 * at once
 * @property phaseMilliseconds offset of the reads of this process, so that not all processes read at once
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
    val phaseMilliseconds: Long = 0,
) {
    /** Time for which a renewal is valid to the holder, from just before sending it, on the holder's clock. */
    val validityMilliseconds: Long
        get() = (durationMilliseconds * (1 - clockRateBound)).toLong()

    /** Time after which another process may take the lease if a row granting [grantedMilliseconds] is unchanged. */
    public fun expiryMilliseconds(grantedMilliseconds: Long): Long =
        ceil(grantedMilliseconds * (1 + clockRateBound)).toLong() + CLOCK_RESOLUTION_MILLISECONDS

    private val longestWatchMilliseconds: Long
        get() = (durationMilliseconds * LONGEST_WATCH_SHARE).toLong()

    /**
     * Interval between reads by a process that does not hold the lease. All contenders together read at a bounded rate,
     * and each reads again before it may take a lease that it has seen.
     */
    public fun watchMilliseconds(contenders: Int): Long =
        (contenders * MILLISECONDS_PER_SECOND / MAX_READS_PER_SECOND)
            .coerceIn(renewalMilliseconds, maxOf(renewalMilliseconds, longestWatchMilliseconds))

    private companion object {
        /** Rate at which all contenders together read the row until their interval reaches its maximum. */
        private const val MAX_READS_PER_SECOND = 10L
        private const val MILLISECONDS_PER_SECOND = 1_000L

        /** Longest interval between reads, as a share of the lease's duration. */
        private const val LONGEST_WATCH_SHARE = 0.75

        /** Upper bound of the error of an interval measured on a clock with millisecond resolution. */
        private const val CLOCK_RESOLUTION_MILLISECONDS = 1L
    }
}
