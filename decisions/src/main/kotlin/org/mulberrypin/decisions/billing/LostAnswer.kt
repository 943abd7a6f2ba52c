package org.mulberrypin.decisions.billing

/** Tells whether an answer has been awaited for longer than the longest timeout of the platform. */
internal fun isAnswerLost(
    sentMilliseconds: Long,
    nowMilliseconds: Long,
): Boolean = nowMilliseconds - sentMilliseconds >= LOST_ANSWER_MILLISECONDS

private const val LOST_ANSWER_MILLISECONDS = 61_000L
