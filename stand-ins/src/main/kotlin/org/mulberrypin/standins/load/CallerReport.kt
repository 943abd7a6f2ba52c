/** What the callers of a load run saw, and how it compares with what a plain service executed. */
package org.mulberrypin.standins.load

/**
 * What the callers of a load run saw.
 *
 * @property calls calls that were made
 * @property whole calls that got the whole answer to their own request
 * @property refused calls whose last attempt was refused, by what all attempts say about the request: "not_run",
 * "may_have_run" or "unstated"
 * @property lost calls whose last attempt was cut or never sent
 * @property lostByKind the same, by kind of call
 * @property crossed calls that got the answer to another request
 * @property doubled calls whose answer held a part twice
 * @property damaged calls whose answer was cut short or changed
 * @property refusals refused attempts, by what they said about the request
 * @property cuts attempts whose connection was cut or never made
 * @property latencies time to the end of an answer, by kind of call
 * @property firstParts time to the first part of a streamed answer
 * @property writes identifiers of the writes that were sent, under which a plain service counts executions
 * @property writesNotRun identifiers of the writes of which every attempt was said not to have run
 * @property uncounted calls whose result found the ring of the tally full
 */
public data class CallerReport(
    val calls: Long,
    val whole: Long,
    val refused: Map<String, Long>,
    val lost: Long,
    val lostByKind: Map<CallKind, Long>,
    val crossed: Long,
    val doubled: Long,
    val damaged: Long,
    val refusals: Map<String, Long>,
    val cuts: Long,
    val latencies: Map<CallKind, LatencySummary>,
    val firstParts: LatencySummary,
    val writes: Set<String>,
    val writesNotRun: Set<String>,
    val uncounted: Long,
)

/** Number of writes that were executed more than once, by the [executions] of a plain service. */
public fun CallerReport.doubledWrites(executions: Map<String, Int>): Int =
    writes.count { executions.getOrDefault(it, 0) > 1 }

/** Number of writes that were executed although every attempt was said not to have run. */
public fun CallerReport.falselyNotRun(executions: Map<String, Int>): Int =
    writesNotRun.count { executions.getOrDefault(it, 0) > 0 }
