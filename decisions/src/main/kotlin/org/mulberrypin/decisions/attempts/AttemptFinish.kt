package org.mulberrypin.decisions.attempts

/** The result of a permitted attempt. */
public data class AttemptFinish(
    val request: Long,
    val result: AttemptResult,
)
