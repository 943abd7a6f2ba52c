/** Expects how many tokens the text of a task still needs. */
package org.mulberrypin.decisions.traffic

/**
 * Expected remaining tokens of a text that isn't complete: what the hint leaves, or for a text without a hint or beyond
 * it, as much as it already has, since lengths spread over more than a decade. No text is expected to be longer than
 * the limit of its task.
 */
internal fun expectedRemainingTokens(task: TaskProgress): Long {
    if (task.isTextComplete || task.phase == TaskPhase.DONE) return 0
    val limit = if (task.task.tokens > 0) task.task.tokens else MAX_EXPECTED_TOKENS
    val hint = task.lengthHint.coerceIn(0, limit)
    val expected = if (hint > task.lastEvent) hint - task.lastEvent else maxOf(task.lastEvent, MIN_EXPECTED_TOKENS)
    return expected.coerceIn(1, limit)
}

/** Expected tokens of a text that has only begun and has no hint. */
private const val MIN_EXPECTED_TOKENS = 10L

/** Longest expected text of a task without a limit, in tokens. */
private const val MAX_EXPECTED_TOKENS = 1_000_000L
