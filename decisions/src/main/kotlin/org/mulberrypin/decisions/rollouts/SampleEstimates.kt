/** Estimates from which the runner predicts whether a sample in flight will meet the staleness bound. */
package org.mulberrypin.decisions.rollouts

/**
 * Predicts the total tokens of a sample; 0 when unknown. Because lengths have a heavy tail, a sample that exceeds its
 * expected length is predicted to grow by another half of its current length.
 */
internal fun predictTotalTokens(
    tokens: Long,
    expectedTokens: Long,
): Long =
    when {
        expectedTokens == 0L -> 0
        tokens < expectedTokens -> expectedTokens
        else -> tokens + tokens / 2
    }

/**
 * Predicts the time until a sample ends from its generation rate so far; 0 before its first token, and negative when
 * its expected length is unknown.
 */
internal fun predictRemainingMilliseconds(
    tokens: Long,
    expectedTokens: Long,
    elapsedMilliseconds: Long,
): Long =
    if (tokens == 0L) 0 else (predictTotalTokens(tokens, expectedTokens) - tokens) * elapsedMilliseconds / tokens

/** Predicts the minimum weight version in [remainingMilliseconds]; an unknown interval, 0, leaves it unchanged. */
internal fun predictMinimumVersion(
    minimumVersion: Long,
    remainingMilliseconds: Long,
    versionIntervalMilliseconds: Long,
): Long =
    if (versionIntervalMilliseconds == 0L) {
        minimumVersion
    } else {
        minimumVersion + remainingMilliseconds.coerceAtLeast(0) / versionIntervalMilliseconds
    }
