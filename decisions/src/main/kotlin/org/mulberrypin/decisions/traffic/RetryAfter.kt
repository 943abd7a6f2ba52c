/** Decides when a refused caller should come back: in the order of the refusals, and not together with others. */
package org.mulberrypin.decisions.traffic

/**
 * Time after which the caller of [request] should come back, in milliseconds; null for the usual delay, if its pool
 * isn't known to be short of servers or room. Enough of the caller's time is left for another attempt.
 */
internal fun TrafficState.retryAfterMilliseconds(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Long? {
    val longest = (request.deadlineMilliseconds - nowMilliseconds) / REMAINING_TIME_DIVISOR
    val drainRate = drainRate(request, nowMilliseconds)
    val knownWait = expectedWaitMilliseconds(request.pool, nowMilliseconds) ?: 0.0
    val wait = maxOf(knownWait, expectedRunMilliseconds(request, nowMilliseconds))
    val isShortOfRoom = knownWait > 0 || pressureOf(request.pool).isPressed(nowMilliseconds)
    return when {
        longest <= 0 -> null
        drainRate == 0.0 -> longest.takeIf { hasNoServerToExpect(request.pool) }
        isShortOfRoom -> turnMilliseconds(request, wait, drainRate, longest.toDouble(), nowMilliseconds)
        else -> null
    }
}

/** The caller's turn among those refused of late, spread within it; callers past [longest] share its second half. */
private fun TrafficState.turnMilliseconds(
    request: ForwardedRequest,
    wait: Double,
    drainRate: Double,
    longest: Double,
    nowMilliseconds: Long,
): Long {
    val width = liveInstances.size.coerceAtLeast(1) / drainRate
    val position = if (request.isReturning) 0 else callersAhead(request.pool, nowMilliseconds)
    val start = wait + position * width
    val isInTime = start + width <= longest
    val turn = if (isInTime) {
        start + spread(request.content, width)
    } else {
        longest / 2 + spread(request.content, longest / 2)
    }
    return turn.toLong().coerceAtLeast(1)
}

/** Callers that were told to come back to [pool] and aren't due yet. */
private fun TrafficState.callersAhead(
    pool: String,
    nowMilliseconds: Long,
): Int = queues.refusedCallers.values.count { it.pool == pool && it.returnMilliseconds > nowMilliseconds }

/** Time from 0 to [widthMilliseconds] that depends on [content] alone. */
private fun spread(
    content: String,
    widthMilliseconds: Double,
): Double = Math.floorMod(stableHash(0, content), SPREAD_STEPS) * widthMilliseconds / SPREAD_STEPS

/** Remaining time of a caller divided by the longest Retry-After; two thirds are left to be served. */
private const val REMAINING_TIME_DIVISOR = 3

private const val SPREAD_STEPS = 1_024L
