package org.mulberrypin.decisions.attempts

/** The result of a permitted attempt. */
public data class AttemptCompletion(
    val request: Long,
    val result: AttemptResult,
)
