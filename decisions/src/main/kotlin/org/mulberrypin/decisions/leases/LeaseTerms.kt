package org.mulberrypin.decisions.leases

import kotlin.math.ceil

/**
 * Under which terms one process contends for one lease.
 *
 * @property name key of the lease's row in the table service
 * @property candidate name of the instance that contends
 * @property incarnation tells apart two starts of the instance
 * @property durationMilliseconds time the lease lasts after a renewal
 * @property renewalMilliseconds time between two renewals, and between two reads by a process that does not hold it
 * @property clockRateBound largest relative difference between the rates of two clocks
 * @property answerMilliseconds time after which the answer of the table service counts as lost
 * @property contentionMilliseconds time this process waits before it takes a free lease, so that not all try at once
 */
public data class LeaseTerms(
    val name: String,
    val candidate: String,
    val incarnation: Long,
    val durationMilliseconds: Long,
    val renewalMilliseconds: Long,
    val clockRateBound: Double,
    val answerMilliseconds: Long,
    val contentionMilliseconds: Long = 0,
) {
    /** How long the holder relies on a renewal, from the moment before it was sent, by the holder's clock. */
    val reliedOnMilliseconds: Long
        get() = (durationMilliseconds * (1 - clockRateBound)).toLong()

    /** How long a row written for [grantedMilliseconds] must stay unchanged before another process takes the lease. */
    public fun watchedMilliseconds(grantedMilliseconds: Long): Long =
        ceil(grantedMilliseconds * (1 + clockRateBound)).toLong() + CLOCK_STEP_MILLISECONDS

    private companion object {
        /** Two readings of a clock that counts whole milliseconds differ from the true time by less than this. */
        private const val CLOCK_STEP_MILLISECONDS = 1L
    }
}
