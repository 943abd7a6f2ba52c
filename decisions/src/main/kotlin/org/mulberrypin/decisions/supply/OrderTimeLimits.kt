package org.mulberrypin.decisions.supply

/**
 * Timing limits for the orders of one shard.
 *
 * @property sendTimeoutMilliseconds maximum time between the start of sending an order and its arrival at the platform
 * @property wallDifferenceMilliseconds maximum difference between the wall clocks of an instance and of the platform
 * @property clockRateBound maximum relative difference between the rates of two clocks
 */
public data class OrderTimeLimits(
    val shard: String,
    val sendTimeoutMilliseconds: Long,
    val wallDifferenceMilliseconds: Long,
    val clockRateBound: Double,
) {
    /** Time after the check of the lease after which an order expires; allows for the difference of the wall clocks. */
    val orderLifetimeMilliseconds: Long
        get() = sendTimeoutMilliseconds + wallDifferenceMilliseconds

    /** Time for which a new lease holder sends no order, so that all orders of earlier holders have expired. */
    val takeoverDelayMilliseconds: Long
        get() = orderLifetimeMilliseconds + wallDifferenceMilliseconds + sendTimeoutMilliseconds
}
