package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TaskPart
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class SaveProgressTest {
    @Test
    fun `saves the events since the last save`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run, 1L..20L)
        val first = fixture.nextSave()
        expectThat(first.parts.single().run { firstEvent to lastEvent }).isEqualTo(1L to 20L)
        fixture.decide(TrafficEvent.ProgressSaved(first))
        fixture.deliverEvents(run, 21L..40L)
        val second = fixture.nextSave().parts.single()
        expectThat(second.firstEvent to second.lastEvent).isEqualTo(21L to 40L)
        expectThat(second.text).isEqualTo((21..40).joinToString("\n") { "e$it" })
    }

    @Test
    fun `saves the same events again after a save of unknown outcome`() {
        val fixture = fixture()
        fixture.deliverEvents(fixture.startJob(1).single(), 1L..20L)
        fixture.decide(TrafficEvent.ProgressSaveFailed(fixture.nextSave(), "no answer"))
        expectThat(
            fixture
                .nextSave()
                .parts
                .single()
                .firstEvent,
        ).isEqualTo(1)
    }

    @Test
    fun `does not save while there are few new events or a save is pending`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run, 1L..3L)
        fixture.nowMilliseconds += 1_000
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.SaveProgress>()).isEmpty()
        fixture.deliverEvents(run, 4L..30L)
        fixture.nextSave()
        fixture.deliverEvents(run, 31L..60L)
        fixture.nowMilliseconds += 1_000
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.SaveProgress>()).isEmpty()
    }

    @Test
    fun `includes only the weight versions of the events in a part`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.decide(
            TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, 200, notRun = false, version = 1),
        )
        val long = "e".repeat(1_000)
        val events = (1L..30L).map { TaskEvent(it, long, if (it == 30L) 2 else null) }
        fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        val part = fixture.nextSave().parts.single()
        expectThat(part.lastEvent).isLessThan(30)
        expectThat(part.versions).containsExactly(1)
    }

    @Test
    fun `continues saving after the rows were reread during a pending save`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.deliverEvents(runs[0], 1L..20L)
        fixture.nextSave()
        fixture.complete(runs[1])
        fixture.decide(
            TrafficEvent.ResultsWriteFailed(fixture.singleEffect<TrafficEffect.WriteResults>().batch, "no answer"),
        )
        fixture.decide(TrafficEvent.JobLoaded(ownRecord(2), 11, submission(2), emptyMap(), emptyList()))
        expectThat(fixture.nextSave().version).isEqualTo(11)
    }

    @Test
    fun `continues saving after the job row changed during a pending save`() {
        val fixture = fixture()
        fixture.deliverEvents(fixture.startJob(1).single(), 1L..20L)
        fixture.nextSave()
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(1), 11))))
        expectThat(fixture.nextSave().version).isEqualTo(11)
    }

    @Test
    fun `resumes after the saved events when a job is taken over`() {
        val run = load(part(1, 20, ownership = 5), part(21, 30, ownership = 8)).singleEffect<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(30)
    }

    @Test
    fun `ignores a part of an earlier owner that follows a part of a later owner`() {
        val run = load(part(1, 20, ownership = 8), part(21, 30, ownership = 5)).singleEffect<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(20)
    }

    @Test
    fun `ignores a part after a gap`() {
        val run = load(part(1, 20, ownership = 5), part(25, 30, ownership = 5)).singleEffect<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(20)
    }

    @Test
    fun `scores output that was saved completely`() {
        val fixture = load(part(1, 20, ownership = 5), part(21, 20, ownership = 5).copy(text = "", complete = true))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
        fixture.decide(response(fixture.singleEffect()))
        val result = fixture
            .singleEffect<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.text).isEqualTo((1..20).joinToString("\n") { "e$it" })
        expectThat(result.versions).containsExactly(1, 2)
    }

    @Test
    fun `releases a job with all received events`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.deliverEvents(runs[0], 1L..3L)
        fixture.deliverEvents(runs[1], 1L..2L)
        fixture.decide(TrafficEvent.TaskEnded(runs[1].job, runs[1].task.id, runs[1].attempt))
        fixture.decide(TrafficEvent.ReleaseJobs)
        val parts = fixture.singleEffect<TrafficEffect.ReleaseJob>().parts.associateBy { it.task }
        expectThat(parts.values).hasSize(2)
        expectThat(parts.getValue(runs[0].task.id).lastEvent).isEqualTo(3)
        expectThat(parts.getValue(runs[1].task.id).complete).isTrue()
    }

    private fun load(vararg parts: TaskPart): TrafficFixture {
        val fixture = fixture()
        val loaded = TrafficEvent.JobLoaded(ownRecord(1), 9, submission(1), emptyMap(), emptyList(), parts.toList())
        fixture.decide(loaded)
        return fixture
    }

    private fun part(
        first: Long,
        last: Long,
        ownership: Long,
    ) = TaskPart(
        task = "task-1",
        firstEvent = first,
        lastEvent = last,
        text = (first..last).joinToString("\n") { "e$it" },
        versions = listOf(1, 2),
        currentVersion = 2,
        ownership = ownership,
    )

    private fun TrafficFixture.nextSave(): ProgressBatch {
        nowMilliseconds += 600
        decide(TrafficEvent.Tick)
        return singleEffect<TrafficEffect.SaveProgress>().batch
    }
}
