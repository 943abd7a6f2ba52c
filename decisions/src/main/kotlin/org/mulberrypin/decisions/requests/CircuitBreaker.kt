package org.mulberrypin.decisions.requests

/**
 * Keeps requests away from a backend server that fails again and again.
 *
 * @property failures failures since the last success
 * @property closedAtMilliseconds time from which the server may be tried again
 */
public data class CircuitBreaker(
    val failures: Int = 0,
    val closedAtMilliseconds: Long = Long.MIN_VALUE,
)

/** True when the server may be tried at [nowMilliseconds]. */
internal fun CircuitBreaker.admits(nowMilliseconds: Long): Boolean = nowMilliseconds >= closedAtMilliseconds

/** The breaker after a success. */
internal fun CircuitBreaker.afterSuccess(): CircuitBreaker = if (failures == 0) this else CircuitBreaker()

/** The breaker after a failure; from the third one on it opens, each time for twice as long. */
internal fun CircuitBreaker.afterFailure(nowMilliseconds: Long): CircuitBreaker {
    val count = failures + 1
    if (count < FAILURES_TO_OPEN) return copy(failures = count)
    val doublings = (count - FAILURES_TO_OPEN).coerceAtMost(DOUBLINGS_AT_MOST)
    return CircuitBreaker(count, nowMilliseconds + (SHORTEST_OPEN_MILLISECONDS shl doublings))
}

private const val FAILURES_TO_OPEN = 3
private const val SHORTEST_OPEN_MILLISECONDS = 1_000L
private const val DOUBLINGS_AT_MOST = 5
