package org.mulberrypin.decisions.requests

/**
 * Token bucket that limits retries to a ratio of first attempts, so that failing backend servers do not cause a retry
 * storm.
 *
 * @property tokens retries currently available
 */
public data class RetryBudget(
    val tokens: Double = INITIAL_RETRIES,
)

/** Returns the budget after a first attempt, which adds [ratio] of a retry. */
internal fun RetryBudget.deposit(ratio: Double): RetryBudget =
    RetryBudget((tokens + ratio).coerceAtMost(MAX_RETRIES))

/** Returns the budget after a retry, or null when no retry is available. */
internal fun RetryBudget.tryWithdraw(): RetryBudget? = if (tokens < 1.0) null else RetryBudget(tokens - 1.0)

private const val INITIAL_RETRIES = 10.0
private const val MAX_RETRIES = 100.0
