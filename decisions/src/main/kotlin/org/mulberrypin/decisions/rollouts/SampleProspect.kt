/** Whether a sample under way can still be delivered. All functions are pure estimates. */
package org.mulberrypin.decisions.rollouts

/**
 * Predicts the tokens a sample has when it ends. A sample past the expected length is taken to go on for half of what
 * it has, since lengths have a heavy tail; 0 stands for not known.
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

/** Predicts the time until a sample ends from its speed so far; 0 when nothing is known. */
internal fun predictRemainingMilliseconds(
    tokens: Long,
    expectedTokens: Long,
    elapsedMilliseconds: Long,
): Long =
    if (tokens == 0L) 0 else (predictTotalTokens(tokens, expectedTokens) - tokens) * elapsedMilliseconds / tokens

/** The oldest permitted version that is expected once [remainingMilliseconds] have passed. */
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
