package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty

/** Guards against listing the tasks of a job a second time when the outcome of its row's write is known late. */
class LostRowWritesTest {
    private val fixture = fixture()

    @Test
    fun `does not run a complete job again when its write turns out to have been applied`() {
        runToCompletion()
        val complete = ownRecord(TASKS).copy(complete = true)
        fixture.decide(TrafficEvent.JobStored(7, complete, COMPLETE_VERSION, submission(TASKS), emptyMap()))
        expectAcceptedWithoutRuns()
    }

    @Test
    fun `does not run a complete job again when the response to its write arrives late`() {
        runToCompletion()
        fixture.decide(TrafficEvent.JobStored(7, ownRecord(TASKS), VERSION, submission(TASKS), emptyMap()))
        expectAcceptedWithoutRuns()
    }

    @Test
    fun `does not load a complete job again before the feed tells of its end`() {
        runToCompletion()
        fixture.nowMilliseconds += 5_000
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.ReloadJob>()).isEmpty()
    }

    @Test
    fun `does not start a running job again`() {
        loadByFeed()
        fixture.decide(TrafficEvent.JobStored(7, ownRecord(TASKS), VERSION, submission(TASKS), emptyMap()))
        expectAcceptedWithoutRuns()
    }

    @Test
    fun `starts a job at once whose row is known but not loaded yet`() {
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(TASKS), VERSION))))
        fixture.decide(TrafficEvent.JobStored(7, ownRecord(TASKS), VERSION, submission(TASKS), emptyMap()))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).hasSize(TASKS)
    }

    @Test
    fun `stops a task whose result the store lists already`() {
        val (first, second) = loadByFeed()
        fixture.complete(first)
        val lost = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        fixture.decide(TrafficEvent.ResultsWriteFailed(lost, "no answer"))
        val stored = listOf(first.task.id, second.task.id)
        val record = ownRecord(TASKS + 1)
        fixture.decide(TrafficEvent.JobLoaded(record, VERSION, submission(TASKS), emptyMap(), stored))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>().map { it.task }).containsExactly(second.task.id)
        fixture.decide(TrafficEvent.TaskEnded(second.job, second.task.id, second.attempt))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
    }

    @Test
    fun `drops a job whose last write turns out to have been applied`() {
        val runs = loadByFeed()
        runs.forEach(fixture::complete)
        val complete = ownRecord(TASKS).copy(complete = true)
        val stored = runs.map { it.task.id }
        val job = fixture.state.jobs.getValue("job-1")
        fixture.state = fixture.state.copy(jobs = fixture.state.jobs.put("job-1", job.copy(isReloading = true)))
        fixture.decide(TrafficEvent.JobLoaded(complete, COMPLETE_VERSION, submission(TASKS), emptyMap(), stored))
        expectThat(fixture.state.jobs.keys).isEmpty()
    }

    private fun loadByFeed(): List<TrafficEffect.RunTask> {
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(TASKS), VERSION))))
        fixture.decide(
            TrafficEvent.JobLoaded(ownRecord(TASKS), VERSION, submission(TASKS), emptyMap(), emptyList()),
        )
        return fixture.effectsOf()
    }

    private fun runToCompletion() {
        for (run in loadByFeed()) {
            fixture.complete(run)
            val batch = fixture.singleEffect<TrafficEffect.WriteResults>().batch
            val version = if (batch.record.complete) COMPLETE_VERSION else VERSION
            fixture.decide(TrafficEvent.ResultsWritten(batch, version))
        }
        expectThat(fixture.state.jobs.keys).isEmpty()
    }

    private fun expectAcceptedWithoutRuns() {
        expectThat(fixture.effectsOf<TrafficEffect.AcceptJob>()).hasSize(1)
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
    }

    private companion object {
        private const val TASKS = 2
        private const val VERSION = 10L
        private const val COMPLETE_VERSION = 12L
    }
}
