package org.mulberrypin.decisions.billing

/** Returns whether a response has been awaited for longer than the largest platform timeout that the settings allow. */
internal fun isAnswerLost(
    sentMilliseconds: Long,
    nowMilliseconds: Long,
): Boolean = nowMilliseconds - sentMilliseconds >= RESPONSE_TIMEOUT_MILLISECONDS

/** Exceeds the largest platform timeout that the settings allow, which is 60 seconds. */
private const val RESPONSE_TIMEOUT_MILLISECONDS = 61_000L
