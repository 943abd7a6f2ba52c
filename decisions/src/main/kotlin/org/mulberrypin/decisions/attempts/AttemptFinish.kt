package org.mulberrypin.decisions.attempts

/** How an attempt that was allowed to run ended. */
public data class AttemptFinish(
    val request: Long,
    val result: AttemptResult,
)
