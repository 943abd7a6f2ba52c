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
    fun `discards the output when the weights change within it`() {
        val fixture = singleVersionFixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(4, "e4", 2))))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).hasSize(1)
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.RunTask>().lastEvent).isEqualTo(0)
    }

    @Test
    fun `discards the output when no engine has its weight version any more`() {
        val fixture = singleVersionFixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-3", version = 2), plainServer("plain-1"))))
        fixture.decide(
            TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, sent = true, detail = "closed"),
        )
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        val next = fixture.singleEffect<TrafficEffect.RunTask>()
        expectThat(next.server to next.lastEvent).isEqualTo("engine-3" to 0L)
    }

    @Test
    fun `waits for an engine that still has the weight version of the output`() {
        val fixture = singleVersionFixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        val busy = engine("engine-1", version = 1, slots = 0)
        fixture.decide(
            TrafficEvent.BackendsChanged(listOf(busy, engine("engine-3", version = 2), plainServer("plain-1"))),
        )
        fixture.decide(
            TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, sent = true, detail = "closed"),
        )
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `reports a single weight version after a restart`() {
        val fixture = singleVersionFixture()
        val first = fixture.startJob(1).single()
        fixture.deliverEvents(first)
        fixture.decide(TrafficEvent.TaskEventsArrived(first.job, first.task.id, 1, listOf(TaskEvent(4, "e4", 2))))
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        val again = fixture.singleEffect<TrafficEffect.RunTask>()
        fixture.decide(
            TrafficEvent.TaskResponseReceived(
                again.job,
                again.task.id,
                again.attempt,
                200,
                notRun = false,
                version = 2,
            ),
        )
        val events = listOf(TaskEvent(1, "n1", null), TaskEvent(2, "n2", null))
        fixture.decide(TrafficEvent.TaskEventsArrived(again.job, again.task.id, again.attempt, events))
        fixture.decide(TrafficEvent.TaskEnded(again.job, again.task.id, again.attempt))
        fixture.decide(response(fixture.singleEffect()))
        val result = fixture
            .singleEffect<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.versions).containsExactly(2)
        expectThat(result.text).isEqualTo("n1\nn2")
    }

    @Test
    fun `does not join saved parts from before and after a restart`() {
        listOf(1 to 0, 0 to 1).forEach { (first, second) ->
            val fixture = singleVersionFixture()
            val parts = listOf(part(1, 20, restarts = first), part(21, 40, restarts = second))
            fixture.decide(TrafficEvent.JobLoaded(ownRecord(1), 9, submission(1), emptyMap(), emptyList(), parts))
            expectThat(fixture.singleEffect<TrafficEffect.RunTask>().lastEvent).isEqualTo(20)
        }
    }

    @Test
    fun `saves restarted output from its first event even if a save of the old output was pending`() {
        val fixture = singleVersionFixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run, 1L..30L)
        fixture.nowMilliseconds += 600
        fixture.decide(TrafficEvent.Tick)
        val save = fixture.singleEffect<TrafficEffect.SaveProgress>().batch
        fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(31, "e", 2))))
        fixture.decide(TrafficEvent.ProgressSaved(save))
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        fixture.deliverEvents(fixture.singleEffect<TrafficEffect.RunTask>(), 1L..30L)
        fixture.nowMilliseconds += 600
        fixture.decide(TrafficEvent.Tick)
        val part = fixture
            .singleEffect<TrafficEffect.SaveProgress>()
            .batch.parts
            .single()
        expectThat(part.firstEvent to part.restarts).isEqualTo(1L to 1)
    }

    private fun part(
        first: Long,
        last: Long,
        restarts: Int,
    ) = TaskPart("task-1", first, last, "text", listOf(1), 1, ownership = 5, restarts = restarts)

    private fun singleVersionFixture(): TrafficFixture {
        val fixture = fixture()
        val plain = configuration(RequestKind.IDEMPOTENT)
        val routes = plain.routes.map { it.copy(singleWeightVersion = it.kind == RequestKind.ROLLOUT) }
        fixture.decide(TrafficEvent.ConfigurationChanged(plain.copy(version = 2, routes = routes)))
        return fixture
    }
}
