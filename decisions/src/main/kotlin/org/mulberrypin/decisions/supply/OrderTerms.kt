package org.mulberrypin.decisions.supply

/**
 * Under which terms one shard is ordered for.
 *
 * @property longestSendMilliseconds longest time an order that was sent is under way
 * @property wallDifferenceMilliseconds largest difference between the wall clocks of an instance and of the platform
 * @property clockRateBound largest relative difference between the rates of two clocks
 */
public data class OrderTerms(
    val shard: String,
    val longestSendMilliseconds: Long,
    val wallDifferenceMilliseconds: Long,
    val clockRateBound: Double,
) {
    /** Time after the check of the lease until the platform's own clock may still let an order pass. */
    val orderLifeMilliseconds: Long
        get() = longestSendMilliseconds + wallDifferenceMilliseconds

    /** Time a new holder waits before its first order, so that every order of an earlier holder has expired. */
    val quietMilliseconds: Long
        get() = orderLifeMilliseconds + wallDifferenceMilliseconds + longestSendMilliseconds
}
