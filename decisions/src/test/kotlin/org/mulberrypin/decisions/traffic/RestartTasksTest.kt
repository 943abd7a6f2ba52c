package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.TaskPart
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RestartTasksTest {
    @Test
    fun `begins a text anew when the weights change within it`() {
        val world = singleVersionWorld()
        val run = world.startJob(1).single()
        world.stream(run)
        world.tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(4, "e4", 2))))
        expectThat(world.all<TrafficEffect.CancelTask>()).hasSize(1)
        world.now += 50
        world.tell(TrafficEvent.Ticked)
        expectThat(world.single<TrafficEffect.RunTask>().lastEvent).isEqualTo(0)
    }

    @Test
    fun `begins a text anew when no engine has its version any more`() {
        val world = singleVersionWorld()
        val run = world.startJob(1).single()
        world.stream(run)
        world.tell(TrafficEvent.BackendsChanged(listOf(engine("engine-3", version = 2), plainServer("plain-1"))))
        world.tell(TrafficEvent.TaskBroke(run.job, run.task.id, run.attempt, sent = true, detail = "closed"))
        world.now += 50
        world.tell(TrafficEvent.Ticked)
        val next = world.single<TrafficEffect.RunTask>()
        expectThat(next.server to next.lastEvent).isEqualTo("engine-3" to 0L)
    }

    @Test
    fun `waits for an engine that still has the version of a text`() {
        val world = singleVersionWorld()
        val run = world.startJob(1).single()
        world.stream(run)
        val busy = engine("engine-1", version = 1, slots = 0)
        world.tell(TrafficEvent.BackendsChanged(listOf(busy, engine("engine-3", version = 2), plainServer("plain-1"))))
        world.tell(TrafficEvent.TaskBroke(run.job, run.task.id, run.attempt, sent = true, detail = "closed"))
        world.now += 50
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `lists one version after a text was begun anew`() {
        val world = singleVersionWorld()
        val first = world.startJob(1).single()
        world.stream(first)
        world.tell(TrafficEvent.TaskEventsArrived(first.job, first.task.id, 1, listOf(TaskEvent(4, "e4", 2))))
        world.now += 50
        world.tell(TrafficEvent.Ticked)
        val again = world.single<TrafficEffect.RunTask>()
        world.tell(TrafficEvent.TaskAnswered(again.job, again.task.id, again.attempt, 200, notRun = false, version = 2))
        val events = listOf(TaskEvent(1, "n1", null), TaskEvent(2, "n2", null))
        world.tell(TrafficEvent.TaskEventsArrived(again.job, again.task.id, again.attempt, events))
        world.tell(TrafficEvent.TaskEnded(again.job, again.task.id, again.attempt))
        world.tell(answer(world.single()))
        val result = world
            .single<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.versions).containsExactly(2)
        expectThat(result.text).isEqualTo("n1\nn2")
    }

    @Test
    fun `joins no saved parts of a text and of the one that was begun anew`() {
        listOf(1 to 0, 0 to 1).forEach { (first, second) ->
            val world = singleVersionWorld()
            val parts = listOf(part(1, 20, restarts = first), part(21, 40, restarts = second))
            world.tell(TrafficEvent.JobLoaded(ownRecord(1), 9, submission(1), emptyMap(), emptyList(), parts))
            expectThat(world.single<TrafficEffect.RunTask>().lastEvent).isEqualTo(20)
        }
    }

    @Test
    fun `saves a text that was begun anew from its first event, whatever was being saved`() {
        val world = singleVersionWorld()
        val run = world.startJob(1).single()
        world.stream(run, 1L..30L)
        world.now += 600
        world.tell(TrafficEvent.Ticked)
        val save = world.single<TrafficEffect.SaveProgress>().batch
        world.tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(31, "e", 2))))
        world.tell(TrafficEvent.ProgressSaved(save))
        world.now += 50
        world.tell(TrafficEvent.Ticked)
        world.stream(world.single<TrafficEffect.RunTask>(), 1L..30L)
        world.now += 600
        world.tell(TrafficEvent.Ticked)
        val part = world
            .single<TrafficEffect.SaveProgress>()
            .batch.parts
            .single()
        expectThat(part.firstEvent to part.restarts).isEqualTo(1L to 1)
    }

    private fun part(
        first: Long,
        last: Long,
        restarts: Int,
    ) = TaskPart("task-1", first, last, "text", listOf(1), 1, ownership = 5, restarts = restarts)

    private fun singleVersionWorld(): TrafficWorld {
        val world = world()
        val plain = configuration(RequestKind.IDEMPOTENT)
        val routes = plain.routes.map { it.copy(singleWeightVersion = it.kind == RequestKind.ROLLOUT) }
        world.tell(TrafficEvent.ConfigurationChanged(plain.copy(version = 2, routes = routes)))
        return world
    }
}
