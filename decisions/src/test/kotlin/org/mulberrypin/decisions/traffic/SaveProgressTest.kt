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
        val world = world()
        val run = world.startJob(1).single()
        world.stream(run, 1L..20L)
        val first = world.nextSave()
        expectThat(first.parts.single().run { firstEvent to lastEvent }).isEqualTo(1L to 20L)
        world.tell(TrafficEvent.ProgressSaved(first))
        world.stream(run, 21L..40L)
        val second = world.nextSave().parts.single()
        expectThat(second.firstEvent to second.lastEvent).isEqualTo(21L to 40L)
        expectThat(second.text).isEqualTo((21..40).joinToString("\n") { "e$it" })
    }

    @Test
    fun `saves the same events again when a save may not have taken effect`() {
        val world = world()
        world.stream(world.startJob(1).single(), 1L..20L)
        world.tell(TrafficEvent.ProgressNotSaved(world.nextSave(), "no answer"))
        expectThat(
            world
                .nextSave()
                .parts
                .single()
                .firstEvent,
        ).isEqualTo(1)
    }

    @Test
    fun `saves nothing while little is new or a save is under way`() {
        val world = world()
        val run = world.startJob(1).single()
        world.stream(run, 1L..3L)
        world.now += 1_000
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.SaveProgress>()).isEmpty()
        world.stream(run, 4L..30L)
        world.nextSave()
        world.stream(run, 31L..60L)
        world.now += 1_000
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.SaveProgress>()).isEmpty()
    }

    @Test
    fun `names only the versions of the events that a part holds`() {
        val world = world()
        val run = world.startJob(1).single()
        world.tell(TrafficEvent.TaskAnswered(run.job, run.task.id, run.attempt, 200, notRun = false, version = 1))
        val long = "e".repeat(1_000)
        val events = (1L..30L).map { TaskEvent(it, long, if (it == 30L) 2 else null) }
        world.tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        val part = world.nextSave().parts.single()
        expectThat(part.lastEvent).isLessThan(30)
        expectThat(part.versions).containsExactly(1)
    }

    @Test
    fun `goes on saving when rows were read again while a save was under way`() {
        val world = world()
        val runs = world.startJob(2)
        world.stream(runs[0], 1L..20L)
        world.nextSave()
        world.complete(runs[1])
        world.tell(TrafficEvent.ResultsNotWritten(world.single<TrafficEffect.WriteResults>().batch, "no answer"))
        world.tell(TrafficEvent.JobLoaded(ownRecord(2), 11, submission(2), emptyMap(), emptyList()))
        expectThat(world.nextSave().version).isEqualTo(11)
    }

    @Test
    fun `goes on saving when its own row has changed while a save was under way`() {
        val world = world()
        world.stream(world.startJob(1).single(), 1L..20L)
        world.nextSave()
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(1), 11))))
        expectThat(world.nextSave().version).isEqualTo(11)
    }

    @Test
    fun `goes on after the saved events when a job is taken over`() {
        val run = load(part(1, 20, ownership = 5), part(21, 30, ownership = 8)).single<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(30)
    }

    @Test
    fun `takes no part of an earlier owner after one of a later owner`() {
        val run = load(part(1, 20, ownership = 8), part(21, 30, ownership = 5)).single<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(20)
    }

    @Test
    fun `takes no part behind a gap`() {
        val run = load(part(1, 20, ownership = 5), part(25, 30, ownership = 5)).single<TrafficEffect.RunTask>()
        expectThat(run.lastEvent).isEqualTo(20)
    }

    @Test
    fun `scores a text that was saved whole`() {
        val world = load(part(1, 20, ownership = 5), part(21, 20, ownership = 5).copy(text = "", complete = true))
        expectThat(world.all<TrafficEffect.RunTask>()).isEmpty()
        world.tell(answer(world.single()))
        val result = world
            .single<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.text).isEqualTo((1..20).joinToString("\n") { "e$it" })
        expectThat(result.versions).containsExactly(1, 2)
    }

    @Test
    fun `gives all that has arrived away with a job`() {
        val world = world()
        val runs = world.startJob(2)
        world.stream(runs[0], 1L..3L)
        world.stream(runs[1], 1L..2L)
        world.tell(TrafficEvent.TaskEnded(runs[1].job, runs[1].task.id, runs[1].attempt))
        world.tell(TrafficEvent.JobsReleased)
        val parts = world.single<TrafficEffect.ReleaseJob>().parts.associateBy { it.task }
        expectThat(parts.values).hasSize(2)
        expectThat(parts.getValue(runs[0].task.id).lastEvent).isEqualTo(3)
        expectThat(parts.getValue(runs[1].task.id).complete).isTrue()
    }

    private fun load(vararg parts: TaskPart): TrafficWorld {
        val world = world()
        val loaded = TrafficEvent.JobLoaded(ownRecord(1), 9, submission(1), emptyMap(), emptyList(), parts.toList())
        world.tell(loaded)
        return world
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

    private fun TrafficWorld.nextSave(): ProgressBatch {
        now += 600
        tell(TrafficEvent.Ticked)
        return single<TrafficEffect.SaveProgress>().batch
    }
}
