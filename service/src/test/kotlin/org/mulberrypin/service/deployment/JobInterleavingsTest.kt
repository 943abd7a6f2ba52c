/** Runs a batch job on several instances under random, seeded interleavings of failures. */
package org.mulberrypin.service.deployment

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.runtime.ManualClock
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.TaskResult
import org.mulberrypin.schema.generated.TaskState
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class JobInterleavingsTest {
    private val clock = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("fleet", clock.clock)

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `every task of an accepted job is listed exactly once with its complete text`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 61, iterations = 1_500), Arb.long()) { seed -> check(Random(seed)) }
        }
    }

    /**
     * Regression test: two reads of the job's rows led to two concurrent writes of results, and the outcome of one was
     * taken for that of the other.
     */
    @Test
    fun `overlapping slow reads neither duplicate nor lose a result`() = check(Random(4221047331846328155L))

    private fun check(random: Random) {
        val store = ScriptedStore()
        val runs = EngineRuns()
        val instances = (1..INSTANCES).map { SimulatedInstance("entry-$it", store, runs, clock, log) }
        val schedule = RandomSchedule(random, store, instances, clock)
        repeat(RANDOM_STEPS) { schedule.runRandomStep() }
        schedule.recover()
        val results = store.rowsOf(StoreTables.RESULTS)
        expectThat(store.overwritten).isEmpty()
        expectThat(results.map { positionOf(it.key) }).isEqualTo((0 until SIMULATED_TASKS).toList())
        val decoded = results.map { recordJson.decodeFromString(TaskResult.serializer(), it.value.drop(1)) }
        expectThat(decoded.map { it.id }.sorted()).isEqualTo((1..SIMULATED_TASKS).map { "task-$it" }.sorted())
        decoded.forEach { checkResult(it, runs) }
        expectThat(store.rowsOf(StoreTables.JOBS).all { log.decodeJob(it)?.complete == true }).isTrue()
    }

    private fun checkResult(
        result: TaskResult,
        runs: EngineRuns,
    ) {
        expectThat(result.state).isEqualTo(TaskState.COMPLETED)
        expectThat(result.text.lines()).hasSize(EVENTS_PER_TASK.toInt())
        expectThat(runs.findMisplacedEvents(result.id, result.text)).isEmpty()
        expectThat(result.score).isEqualTo("signature-${result.id.replace("task", "score")}")
    }

    private companion object {
        private const val INSTANCES = 3
        private const val RANDOM_STEPS = 400
    }
}

/** Runs steps chosen by [random]. */
private class RandomSchedule(
    private val random: Random,
    private val store: ScriptedStore,
    private val instances: List<SimulatedInstance>,
    private val clock: ManualClock,
) {
    private val delayedCalls = ArrayList<() -> Unit>()

    fun runRandomStep() {
        val instance = instances.random(random)
        when (random.nextInt(STEP_KINDS)) {
            in 0..7 -> completeCall()
            in 8..11 -> advanceStream(instance)
            in 12..14 -> advanceScoring(instance)
            in 15..17 -> instance.deliverJobRows()
            18 -> instance.handle(TrafficEvent.LiveInstancesRead(visibleInstances(instance)))
            in 19..21 -> advanceClock(random.nextLong(20, 600), instance)
            22 -> if (delayedCalls.isNotEmpty()) delayedCalls.removeAt(random.nextInt(delayedCalls.size))()
            23 -> if (instances.none { it.accepted }) instance.submit()
            else -> restartOrDrain(instance)
        }
    }

    /** Restarts or drains the instance in some of the steps. */
    private fun restartOrDrain(instance: SimulatedInstance) {
        when (random.nextInt(12)) {
            0 -> instance.start()
            1 -> if (!instance.draining) instance.drain()
        }
    }

    private fun visibleInstances(instance: SimulatedInstance) =
        instances
            .filter { it === instance || (!it.draining && random.nextInt(4) > 0) }
            .map { it.live }

    private fun completeCall() {
        if (store.pending.isEmpty()) return
        val call = store.pending.removeAt(random.nextInt(store.pending.size))
        when (random.nextInt(10)) {
            0 -> call.loseResponse()
            1 -> call.executeLater().let { if (random.nextBoolean()) delayedCalls.add(it) }
            2 -> call.refuse()
            else -> call.succeed()
        }
    }

    private fun advanceStream(instance: SimulatedInstance) {
        val stream = instance.streams.randomOrNull(random) ?: return
        when (random.nextInt(6)) {
            0 -> instance.breakStream(stream)
            1 -> instance.refuse(stream)
            2 -> instance.sendEvents(stream, random.nextLong(stream.lastEvent, EVENTS_PER_TASK))
            else -> instance.sendEvents(stream, EVENTS_PER_TASK)
        }
    }

    private fun advanceScoring(instance: SimulatedInstance) {
        val send = instance.scorings.randomOrNull(random) ?: return
        if (random.nextInt(5) == 0) instance.breakScoring(send) else instance.completeScoring(send)
    }

    private fun advanceClock(
        milliseconds: Long,
        instance: SimulatedInstance,
    ) {
        clock.advance(milliseconds)
        instance.handle(TrafficEvent.Tick)
    }

    /** Runs without failures until the job can be complete. */
    fun recover() {
        instances.filter { it.draining }.forEach { it.start() }
        if (instances.none { it.accepted }) instances.first().submit()
        repeat(RECOVERY_ROUNDS) {
            while (store.pending.isNotEmpty()) store.pending.removeAt(0).succeed()
            delayedCalls.forEach { it() }
            delayedCalls.clear()
            instances.forEach { instance ->
                instance.deliverJobRows()
                instance.handle(TrafficEvent.LiveInstancesRead(instances.map { it.live }))
                instance.streams.toList().forEach { instance.sendEvents(it, EVENTS_PER_TASK) }
                instance.scorings.toList().forEach { instance.completeScoring(it) }
                advanceClock(RECOVERY_PAUSE_MILLISECONDS, instance)
            }
        }
    }

    private companion object {
        private const val STEP_KINDS = 25
        private const val RECOVERY_ROUNDS = 60
        private const val RECOVERY_PAUSE_MILLISECONDS = 100L
    }
}
