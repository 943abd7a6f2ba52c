package org.mulberrypin.decisions.leases

/**
 * A lease that this process holds. All times are on the clock of this process.
 *
 * @property fencingNumber fencing token, larger than those of all earlier holders
 * @property deadlineMilliseconds time from which the process must treat the lease as lost
 * @property sinceMilliseconds time at which the process first read that it holds the lease with this fencing number
 * @property rowVersion version of the lease row, for writes that are conditional on it
 */
public data class HeldLease(
    val name: String,
    val fencingNumber: Long,
    val deadlineMilliseconds: Long,
    val sinceMilliseconds: Long,
    val rowVersion: Long,
)

/** Whether an operation of at most [maxOperationMilliseconds] ends before the lease expires. */
public fun HeldLease.allowsOperation(
    nowMilliseconds: Long,
    maxOperationMilliseconds: Long,
): Boolean = nowMilliseconds + maxOperationMilliseconds < deadlineMilliseconds

/**
 * Whether every operation that an earlier holder may have started under its lease has ended.
 *
 * @param maxOperationMilliseconds maximum duration of such an operation
 * @param clockRateBound maximum relative difference between the rates of two clocks
 */
public fun HeldLease.hasOutlastedEarlierHolders(
    nowMilliseconds: Long,
    maxOperationMilliseconds: Long,
    clockRateBound: Double,
): Boolean = nowMilliseconds - sinceMilliseconds > maxOperationMilliseconds * (1 + clockRateBound)
