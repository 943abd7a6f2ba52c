package org.mulberrypin.standins.load

import org.HdrHistogram.Histogram
import org.mulberrypin.standins.text.AnswerCheck

/** Aggregates the results of calls. Not thread-safe; only the tally thread uses it. */
internal class CallerTally {
    private val checks = HashMap<AnswerCheck, Long>()
    private val refused = HashMap<String, Long>()
    private val refusals = HashMap<String, Long>()
    private val latencies = HashMap<CallKind, Histogram>()
    private val firstChunkLatencies = latencyHistogram()
    private val writes = LinkedHashSet<String>()
    private val writesNotRun = LinkedHashSet<String>()
    private val unanswered = HashMap<CallKind, Long>()
    private var unansweredAttempts = 0L

    fun count(result: CallResult) {
        result.refusals.forEach { (status, count) -> refusals.merge(status, count, Long::plus) }
        unansweredAttempts += result.unansweredAttempts
        when (val ending = result.ending) {
            is CallEnding.Answered -> countAnswer(result, ending)
            is CallEnding.Refused -> refused.merge(ending.executionStatus, 1, Long::plus)
            CallEnding.Unanswered -> unanswered.merge(result.kind, 1, Long::plus)
        }
        if (result.kind == CallKind.WRITE || result.kind == CallKind.KEYED_WRITE) countWrite(result)
    }

    fun report(droppedResults: Long): CallerReport =
        CallerReport(
            calls = checks.values.sum() + refused.values.sum() + unanswered.values.sum(),
            complete = countOf(AnswerCheck.COMPLETE),
            refused = refused.toMap(),
            unanswered = unanswered.values.sum(),
            unansweredByKind = unanswered.toMap(),
            mismatched = countOf(AnswerCheck.MISMATCHED),
            duplicated = countOf(AnswerCheck.DUPLICATED),
            corrupted = countOf(AnswerCheck.CORRUPTED),
            refusals = refusals.toMap(),
            unansweredAttempts = unansweredAttempts,
            latencies = latencies.mapValues { (_, histogram) -> latencySummary(histogram) },
            firstChunkLatencies = latencySummary(firstChunkLatencies),
            writes = writes.toSet(),
            writesNotRun = writesNotRun.toSet(),
            droppedResults = droppedResults,
        )

    private fun countAnswer(
        result: CallResult,
        ending: CallEnding.Answered,
    ) {
        checks.merge(ending.check, 1, Long::plus)
        latencies.getOrPut(result.kind, ::latencyHistogram).record(result.latencyMilliseconds)
        if (result.kind == CallKind.STREAMED) firstChunkLatencies.record(ending.firstChunkMilliseconds)
    }

    private fun countWrite(result: CallResult) {
        writes += result.name
        if (result.executionStatus == NOT_RUN) writesNotRun += result.name
    }

    private fun countOf(check: AnswerCheck): Long = checks.getOrDefault(check, 0)
}
