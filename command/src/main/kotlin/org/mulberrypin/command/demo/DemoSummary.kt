/** The closing summary of the demonstration, and whether it went as it must. */
package org.mulberrypin.command.demo

import org.mulberrypin.standins.load.CallKind
import org.mulberrypin.standins.load.doubledWrites

/**
 * The figures of a demonstration.
 *
 * @property lines the summary, for people
 * @property isGood true when nothing was lost, doubled, crossed, damaged or stale
 */
internal data class DemoSummary(
    val lines: List<String>,
    val isGood: Boolean,
)

internal fun demoSummary(
    network: DemoNetwork,
    load: DemoLoad,
): DemoSummary {
    val callers = load.callers
    val trainer = load.trainer
    val duplicates = callers.doubled + trainer.doubled + callers.doubledWrites(network.shop.executions())
    val windows = network.platform.records().usage
    val conflicting = windows.groupBy { it.name }.values.count { sent -> sent.distinct().size > 1 }
    val lines =
        listOf(
            "requests answered   ${callers.whole} of ${callers.calls}, lost ${callers.lost}," +
                " crossed ${callers.crossed}",
            "interactive p99     ${callers.latencies[CallKind.INTERACTIVE]?.p99Milliseconds ?: 0} ms",
            "samples delivered   ${trainer.samples}, lost ${trainer.lost}, steps whole ${trainer.stepsWhole}" +
                " of ${trainer.stepsAsked}",
            "duplicates          $duplicates",
            "staleness           ${trainer.largestStaleness} at most, beyond the bound ${trainer.stale}",
            "usage windows       ${windows.map { it.name }.distinct().size} reported, differing $conflicting",
        )
    val isGood =
        callers.whole == callers.calls && trainer.stepsWhole == trainer.stepsAsked &&
            duplicates == 0L && trainer.stale == 0L && conflicting == 0
    return DemoSummary(lines, isGood)
}
