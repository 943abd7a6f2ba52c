package org.mulberrypin.standins.load

/**
 * Result of one call over all its attempts.
 *
 * @property name identifier of the call, by which a plain service counts executions
 * @property latencyMilliseconds time from the start of the first attempt to the end of the last
 * @property executionStatus status over all attempts: "not_run", "may_have_run" or "unstated"
 * @property refusals number of refused attempts by execution status
 * @property unansweredAttempts number of attempts that failed to connect, lost their connection or timed out
 */
internal data class CallResult(
    val name: String,
    val kind: CallKind,
    val ending: CallEnding,
    val latencyMilliseconds: Long,
    val executionStatus: String,
    val refusals: Map<String, Long>,
    val unansweredAttempts: Long,
)
