package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class EngineRefusalTest {
    @Test
    fun `sends a refused task to another engine at once although its group runs on the first`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.refuseTask(runs[0])
        expectThat(fixture.singleEffect<TrafficEffect.RunTask>().server).isNotEqualTo(runs[0].server)
    }

    @Test
    fun `backs off from an engine that keeps refusing tasks`() {
        val fixture = fixture(engines = 1)
        var refused = 0
        var run: TrafficEffect.RunTask? = fixture.startJob(1).single()
        val end = fixture.nowMilliseconds + LOAD_MILLISECONDS
        while (fixture.nowMilliseconds < end) {
            run?.let {
                fixture.refuseTask(it)
                refused++
            }
            fixture.nowMilliseconds += 50
            fixture.decide(TrafficEvent.Tick)
            run = fixture.effectsOf<TrafficEffect.RunTask>().singleOrNull()
        }
        expectThat(refused).isEqualTo(4)
    }

    @Test
    fun `sends tasks to an engine again as soon as its listed weights change`() {
        val fixture = fixture(engines = 1)
        fixture.refuseTask(fixture.startJob(1).single())
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(fixture.singleEffect<TrafficEffect.RunTask>().server).isEqualTo("engine-1")
    }

    private fun TrafficFixture.refuseTask(run: TrafficEffect.RunTask) =
        decide(TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, 503, notRun = true, version = null))

    private companion object {
        /** Time that an engine takes to load weights, in milliseconds. */
        private const val LOAD_MILLISECONDS = 900L
    }
}
