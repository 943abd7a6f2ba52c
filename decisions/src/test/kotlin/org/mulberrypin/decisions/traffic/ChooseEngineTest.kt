package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.work.LoadReport
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Load pattern: the tasks of a step arrive at once at engines of unequal speed, in groups that share a prompt. */
class ChooseEngineTest {
    @Test
    fun `the tasks of the next step go to the fast engine first`() {
        val fixture = fixture(engines = 2)
        fixture.runStep(slow = "engine-1")
        fixture.nowMilliseconds += 500
        val next = fixture.startNext(tasks = 8)
        expectThat(next.count { it.server == "engine-2" }).isGreaterThan(5)
    }

    @Test
    fun `an engine that was slow long ago is tried again`() {
        val fixture = fixture(engines = 2)
        fixture.runStep(slow = "engine-1")
        fixture.nowMilliseconds += 60_000
        val next = fixture.startNext(tasks = 8)
        expectThat(next.count { it.server == "engine-1" }).isGreaterThan(2)
    }

    @Test
    fun `a group stays with the engine that has read its prompt while that is not crowded`() {
        val fixture = fixture(engines = 4)
        val runs = fixture.startNext(tasks = 8, sharedTokens = 2_000)
        val byGroup = runs.groupBy { it.task.group }.values
        expectThat(byGroup.map { group -> group.map { it.server }.toSet().size }).isEqualTo(List(4) { 1 })
    }

    @Test
    fun `an engine whose stream reports a queue of others gets no further task`() {
        val fixture = fixture(engines = 2)
        val first = fixture.startNext(tasks = 1).single()
        fixture.decide(
            TrafficEvent.TaskResponseReceived(
                first.job,
                first.task.id,
                first.attempt,
                200,
                false,
                1,
                LoadReport(8, 9, 8),
            ),
        )
        val next = fixture.startNext(tasks = 4, job = "job-2")
        expectThat(next.count { it.server == first.server }).isEqualTo(0)
    }

    @Test
    fun `what a move gains is compared with what it was expected to gain`() {
        val fixture = fixture(engines = 2)
        val runs = fixture.startJob(16).groupBy { it.server }
        repeat(36) { step ->
            fixture.nowMilliseconds += 35
            runs.getValue("engine-2").forEach { fixture.deliver(it, step + 1L) }
            if (step % 3 == 2) runs.getValue("engine-1").forEach { fixture.deliver(it, step / 3 + 1L) }
        }
        runs.getValue("engine-2").forEach { fixture.end(it) }
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        val moved = fixture.effectsOf<TrafficEffect.RunTask>().first()
        (13L..40L).forEach {
            fixture.nowMilliseconds += 35
            fixture.deliver(moved, it)
        }
        fixture.end(moved)
        val gain = fixture.effectsOf<TrafficEffect.MeasureForecast>().filter { it.kind == ForecastKind.MOVE_GAIN }
        expectThat(gain).hasSize(1)
        expectThat(gain.single().actualMilliseconds).isGreaterThan(1_000.0)
        expectThat(fixture.effectsOf<TrafficEffect.RecordDecision>().map { it.decision }).contains("move ended")
    }

    @Test
    fun `a text that is about to end is not moved, since reading it again takes longer`() {
        val fixture = fixture(engines = 2)
        val short = (1..200).fold(fixture.state.textLengths) { known, _ -> known.learnedAt(12) }
        fixture.state = fixture.state.copy(textLengths = short)
        val runs = fixture.startJob(16).groupBy { it.server }
        repeat(30) { step ->
            fixture.nowMilliseconds += 35
            if (step < 12) runs.getValue("engine-2").forEach { fixture.deliver(it, step + 1L) }
            if (step % 3 == 2) runs.getValue("engine-1").forEach { fixture.deliver(it, step / 3 + 1L) }
        }
        runs.getValue("engine-2").forEach { fixture.end(it) }
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>().size).isLessThan(1)
    }
}
