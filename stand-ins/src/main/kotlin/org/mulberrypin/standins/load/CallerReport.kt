/** The results of a load test, and their comparison with the requests that a plain service executed. */
package org.mulberrypin.standins.load

/**
 * Aggregated results of all callers of a load test.
 *
 * @property calls number of calls
 * @property complete calls that received the complete and correct response
 * @property refused calls whose last attempt was refused, by execution status over all attempts: "not_run",
 * "may_have_run" or "unstated"
 * @property unanswered calls whose last attempt got no response or was never sent
 * @property unansweredByKind the same calls by kind
 * @property mismatched calls that received the response to another request
 * @property duplicated calls whose response contained a part twice
 * @property corrupted calls whose response was truncated or altered
 * @property refusals refused attempts by execution status
 * @property unansweredAttempts attempts that failed to connect, lost their connection or timed out
 * @property latencies time from the first attempt to the end of the response, by kind of call
 * @property firstChunkLatencies time from the start of the last attempt to the first chunk of a streamed response
 * @property writes identifiers of all writes, by which a plain service counts executions
 * @property writesNotRun identifiers of the writes for which every attempt was reported as not run
 * @property droppedResults results dropped because the ring buffer to the tally thread was full
 */
public data class CallerReport(
    val calls: Long,
    val complete: Long,
    val refused: Map<String, Long>,
    val unanswered: Long,
    val unansweredByKind: Map<CallKind, Long>,
    val mismatched: Long,
    val duplicated: Long,
    val corrupted: Long,
    val refusals: Map<String, Long>,
    val unansweredAttempts: Long,
    val latencies: Map<CallKind, LatencySummary>,
    val firstChunkLatencies: LatencySummary,
    val writes: Set<String>,
    val writesNotRun: Set<String>,
    val droppedResults: Long,
)

/** Number of writes that were executed more than once, given the [executions] of a plain service by identifier. */
public fun CallerReport.duplicateWrites(executions: Map<String, Int>): Int =
    writes.count { executions.getOrDefault(it, 0) > 1 }

/** Number of writes that were executed although every attempt was reported as not run, given the same counts. */
public fun CallerReport.wronglyReportedNotRun(executions: Map<String, Int>): Int =
    writesNotRun.count { executions.getOrDefault(it, 0) > 0 }
