/** Summarises the results of the demo and decides whether it passed. */
package org.mulberrypin.command.demo

import org.mulberrypin.standins.load.CallKind
import org.mulberrypin.standins.load.duplicateWrites

/**
 * The results of the demo.
 *
 * @property lines the summary as text
 * @property isSuccessful true when every request and step completed, no request ran twice, no sample exceeded the
 * staleness bound and no usage window was reported with differing contents
 */
internal data class DemoSummary(
    val lines: List<String>,
    val isSuccessful: Boolean,
)

/** Summarises [load] and what the stand-ins of [network] recorded. */
internal fun demoSummary(
    network: DemoNetwork,
    load: DemoLoad,
): DemoSummary {
    val callers = load.callers
    val trainer = load.trainer
    val duplicates = callers.duplicated + trainer.duplicated + callers.duplicateWrites(network.shop.executions())
    val windows = network.platform.records().usage
    val conflicting = windows.groupBy { it.name }.values.count { reports -> reports.distinct().size > 1 }
    val lines =
        listOf(
            "requests completed  ${callers.complete} of ${callers.calls}, lost ${callers.unanswered}," +
                " with another request's response ${callers.mismatched}",
            "interactive p99     ${callers.latencies[CallKind.INTERACTIVE]?.p99Milliseconds ?: 0} ms",
            "samples delivered   ${trainer.samples}, lost ${trainer.missing}," +
                " steps complete ${trainer.stepsCompleted} of ${trainer.stepsRequested}",
            "duplicates          $duplicates",
            "staleness           at most ${trainer.largestStaleness}, samples beyond the bound ${trainer.stale}",
            "usage windows       ${windows.map { it.name }.distinct().size} reported, inconsistent $conflicting",
        )
    val isSuccessful =
        callers.complete == callers.calls && trainer.stepsCompleted == trainer.stepsRequested &&
            duplicates == 0L && trainer.stale == 0L && conflicting == 0
    return DemoSummary(lines, isSuccessful)
}
