package org.mulberrypin.standins.load

import org.HdrHistogram.Histogram
import org.mulberrypin.standins.text.AnswerCheck

/** Counts the results of calls; used by one thread only. */
internal class CallerTally {
    private val checks = HashMap<AnswerCheck?, Long>()
    private val refusals = HashMap<String, Long>()
    private val latencies = HashMap<CallKind, Histogram>()
    private val firstParts = latencyHistogram()
    private var cuts = 0L

    fun count(result: CallResult) {
        checks.merge(result.check, 1, Long::plus)
        result.refusals.forEach { (run, count) -> refusals.merge(run, count, Long::plus) }
        cuts += result.cuts
        if (result.check == null) return
        latencies.getOrPut(result.kind, ::latencyHistogram).record(result.latencyMilliseconds)
        if (result.kind == CallKind.STREAMED) firstParts.record(result.firstPartMilliseconds)
    }

    fun report(
        writes: Set<String>,
        uncounted: Long,
    ): CallerReport =
        CallerReport(
            calls = checks.values.sum(),
            whole = of(AnswerCheck.WHOLE),
            lost = of(null),
            crossed = of(AnswerCheck.CROSSED),
            doubled = of(AnswerCheck.DOUBLED),
            damaged = of(AnswerCheck.DAMAGED),
            refusals = refusals.toMap(),
            cuts = cuts,
            latencies = latencies.mapValues { (_, histogram) -> latencySummary(histogram) },
            firstParts = latencySummary(firstParts),
            writes = writes,
            uncounted = uncounted,
        )

    private fun of(check: AnswerCheck?): Long = checks.getOrDefault(check, 0)
}
