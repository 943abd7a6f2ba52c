package org.mulberrypin.decisions.requests

/**
 * Circuit breaker that stops dispatching to a backend server after consecutive failures.
 *
 * @property consecutiveFailures failures since the last success
 * @property openUntilMilliseconds time until which no request is dispatched to the server; [Long.MIN_VALUE] while
 *   the breaker is closed
 */
public data class CircuitBreaker(
    val consecutiveFailures: Int = 0,
    val openUntilMilliseconds: Long = Long.MIN_VALUE,
)

/** True when a request may be dispatched to the server at [nowMilliseconds]. */
internal fun CircuitBreaker.allowsAttempt(nowMilliseconds: Long): Boolean = nowMilliseconds >= openUntilMilliseconds

/** Returns the breaker after a success: closed, with no failures. */
internal fun CircuitBreaker.afterSuccess(): CircuitBreaker = if (consecutiveFailures == 0) this else CircuitBreaker()

/** Returns the breaker after a failure. The third failure in a row opens it; each further one doubles the open time. */
internal fun CircuitBreaker.afterFailure(nowMilliseconds: Long): CircuitBreaker {
    val count = consecutiveFailures + 1
    if (count < FAILURE_THRESHOLD) return copy(consecutiveFailures = count)
    val doublings = (count - FAILURE_THRESHOLD).coerceAtMost(MAX_DOUBLINGS)
    return CircuitBreaker(count, nowMilliseconds + (MIN_OPEN_MILLISECONDS shl doublings))
}

private const val FAILURE_THRESHOLD = 3

/** Open time after [FAILURE_THRESHOLD] failures. */
private const val MIN_OPEN_MILLISECONDS = 1_000L

/** Bounds the open time to 32 times the minimum. */
private const val MAX_DOUBLINGS = 5
