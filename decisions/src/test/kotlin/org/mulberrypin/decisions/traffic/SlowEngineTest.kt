package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

/**
 * Load pattern: one of several engines generates at a third of the pace of the others, and a step waits for its longest
 * texts, which are as likely to run there as elsewhere.
 */
class SlowEngineTest {
    @Test
    fun `a long text on a slow engine goes on at a fast one after its last event`() {
        val fixture = fixture(engines = 2)
        val runs = fixture.startJob(16).groupBy { it.server }
        fixture.generate(runs.getValue("engine-1"), runs.getValue("engine-2"), events = 12)
        fixture.finish(runs.getValue("engine-2"))
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        val moved = fixture.effectsOf<TrafficEffect.RunTask>()
        expectThat(moved.size).isGreaterThan(0)
        expectThat(moved.map { it.server }.toSet()).isEqualTo(setOf("engine-2"))
        expectThat(moved.map { it.lastEvent }.toSet()).isEqualTo(setOf(12L))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).hasSize(moved.size)
    }

    @Test
    fun `no text is moved while all engines keep the same pace`() {
        val fixture = fixture(engines = 2)
        val runs = fixture.startJob(16).groupBy { it.server }
        val all = runs.values.flatten()
        repeat(12) { event ->
            fixture.nowMilliseconds += 100
            all.forEach { fixture.deliver(it, event + 1L) }
        }
        fixture.finish(runs.getValue("engine-2"))
        fixture.nowMilliseconds += 50
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).isEmpty()
    }

    @Test
    fun `no text is moved to an engine without a free slot`() {
        val fixture = fixture(engines = 2)
        val runs = fixture.startJob(16).groupBy { it.server }
        fixture.generate(runs.getValue("engine-1"), runs.getValue("engine-2"), events = 12)
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).isEmpty()
    }

    @Test
    fun `with one slow engine of four a step ends in little more than its longest text takes`() {
        val worst = (1..20).maxOf { seed -> stepMilliseconds(Random(seed)) }
        expectThat(worst).isLessThan(LONGEST_EVENTS * FAST_MILLISECONDS * 5 / 4)
    }

    /** Simulates a step of 32 tasks on four engines with eight slots, one of them slow, and returns its duration. */
    private fun stepMilliseconds(random: Random): Long {
        val fixture = fixture(engines = 4)
        val lengths = HashMap<String, Long>()
        val running = HashMap<String, SimulatedRun>()
        val begin = fixture.nowMilliseconds
        fixture.startJob(32).forEach { running[it.task.id] = SimulatedRun(it, fixture.nowMilliseconds) }
        running.keys.forEach { lengths[it] = if (random.nextInt(8) == 0) LONGEST_EVENTS else random.nextLong(5, 30) }
        while (running.isNotEmpty()) {
            fixture.nowMilliseconds += 5
            running.values.toList().forEach { simulated ->
                if (simulated.isDue(fixture.nowMilliseconds)) {
                    fixture.advance(simulated, lengths.getValue(simulated.run.task.id), running)
                }
            }
            if (fixture.nowMilliseconds % 50 == 0L) {
                fixture.decide(TrafficEvent.Tick)
                fixture.startRuns(running)
            }
        }
        return fixture.nowMilliseconds - begin
    }

    private fun TrafficFixture.startRuns(running: MutableMap<String, SimulatedRun>) =
        effectsOf<TrafficEffect.RunTask>().forEach { running[it.task.id] = SimulatedRun(it, nowMilliseconds) }

    private fun TrafficFixture.advance(
        simulated: SimulatedRun,
        length: Long,
        running: MutableMap<String, SimulatedRun>,
    ) {
        simulated.lastEvent++
        simulated.lastMilliseconds = nowMilliseconds
        deliver(simulated.run, simulated.lastEvent)
        if (simulated.lastEvent == length) {
            running.remove(simulated.run.task.id)
            decide(TrafficEvent.TaskEnded(simulated.run.job, simulated.run.task.id, simulated.run.attempt))
            startRuns(running)
        }
    }

    private class SimulatedRun(
        val run: TrafficEffect.RunTask,
        var lastMilliseconds: Long,
    ) {
        var lastEvent = run.lastEvent

        fun isDue(now: Long): Boolean {
            val interval = if (run.server == "engine-1") SLOW_MILLISECONDS else FAST_MILLISECONDS
            return now - lastMilliseconds >= interval
        }
    }

    /** Delivers [events] events to each run, those of [slow] at a third of the pace of those of [fast]. */
    private fun TrafficFixture.generate(
        slow: List<TrafficEffect.RunTask>,
        fast: List<TrafficEffect.RunTask>,
        events: Int,
    ) {
        repeat(events * 3) { step ->
            nowMilliseconds += 35
            fast.forEach { deliver(it, step + 1L) }
            if (step % 3 == 2) slow.forEach { deliver(it, step / 3 + 1L) }
        }
    }

    private fun TrafficFixture.deliver(
        run: TrafficEffect.RunTask,
        event: Long,
    ) = decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(event, "e", null))))

    private fun TrafficFixture.finish(runs: List<TrafficEffect.RunTask>) =
        runs.forEach { decide(TrafficEvent.TaskEnded(it.job, it.task.id, it.attempt)) }

    private companion object {
        private const val LONGEST_EVENTS = 200L
        private const val FAST_MILLISECONDS = 35L
        private const val SLOW_MILLISECONDS = 105L
    }
}
