package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against results that are never listed because the store refuses their write as too large. */
class LargeResultsTest {
    private val fixture = fixture()

    // Guards against a bound of one write that counts results whatever the length of their texts.
    @Test
    fun `a write contains only as much text as the store takes`() {
        val runs = fixture.startJob(7)
        runs.forEach { run ->
            val events = (1L..9L).map { TaskEvent(it, "\u20ac".repeat(9_999), null) }
            fixture.decide(TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, 200, false, 1))
            fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        }
        val written = ArrayList<Int>()
        var batch: ResultBatch? = null
        runs.forEach { run ->
            fixture.end(run)
            fixture.decide(response(fixture.singleEffect<TrafficEffect.Send>()))
            fixture.effectsOf<TrafficEffect.WriteResults>().singleOrNull()?.let { batch = it.batch }
        }
        while (true) {
            val sent = batch ?: break
            written.add(sent.results.size)
            fixture.decide(TrafficEvent.ResultsWritten(sent, sent.version))
            batch = fixture.effectsOf<TrafficEffect.WriteResults>().singleOrNull()?.batch
        }
        expectThat(written).containsExactly(1, 2, 2, 2)
    }
}
