package org.mulberrypin.decisions.requests

/**
 * Bounds retries to a ratio of first attempts, so that failing backend servers do not multiply the load.
 *
 * @property tokens retries that may be made now
 */
public data class RetryBudget(
    val tokens: Double = RETRIES_AT_START,
)

/** The budget after a first attempt, which earns [ratio] of a retry. */
internal fun RetryBudget.earn(ratio: Double): RetryBudget =
    RetryBudget((tokens + ratio).coerceAtMost(RETRIES_AT_MOST))

/** The budget after a retry, or null when it holds none. */
internal fun RetryBudget.spend(): RetryBudget? = if (tokens < 1.0) null else RetryBudget(tokens - 1.0)

private const val RETRIES_AT_START = 10.0
private const val RETRIES_AT_MOST = 100.0
