package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class EngineRefusalTest {
    @Test
    fun `sends a refused task to another engine at once, though its group is at the first`() {
        val world = world()
        val runs = world.startJob(2)
        world.refuse(runs[0])
        expectThat(world.single<TrafficEffect.RunTask>().server).isNotEqualTo(runs[0].server)
    }

    @Test
    fun `asks an engine that goes on refusing less and less often`() {
        val world = world(engines = 1)
        var refused = 0
        var run: TrafficEffect.RunTask? = world.startJob(1).single()
        val end = world.now + LOAD_MILLISECONDS
        while (world.now < end) {
            run?.let {
                world.refuse(it)
                refused++
            }
            world.now += 50
            world.tell(TrafficEvent.Ticked)
            run = world.all<TrafficEffect.RunTask>().singleOrNull()
        }
        expectThat(refused).isEqualTo(4)
    }

    @Test
    fun `asks an engine again as soon as it lists other weights`() {
        val world = world(engines = 1)
        world.refuse(world.startJob(1).single())
        expectThat(world.all<TrafficEffect.RunTask>()).isEmpty()
        world.tell(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(world.single<TrafficEffect.RunTask>().server).isEqualTo("engine-1")
    }

    private fun TrafficWorld.refuse(run: TrafficEffect.RunTask) =
        tell(TrafficEvent.TaskAnswered(run.job, run.task.id, run.attempt, 503, notRun = true, version = null))

    private companion object {
        /** A load of weights, in milliseconds. */
        private const val LOAD_MILLISECONDS = 900L
    }
}
