package org.mulberrypin.decisions.traffic

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.weights.EnginePool
import org.mulberrypin.decisions.weights.WeightEffect
import org.mulberrypin.decisions.weights.WeightEvent
import org.mulberrypin.decisions.weights.WeightState
import org.mulberrypin.decisions.weights.decideWeights
import org.mulberrypin.schema.generated.EngineReport
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServedModel
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against sending work to a backend server that has said that it is leaving. */
class LeavingServersTest {
    @Test
    fun `sends nothing to a server that said so although the list still says ready or lost it for a while`() {
        val fixture = fixture(plainServers = 1)
        fixture.decide(TrafficEvent.ServerLeaving("plain-1", 0))
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1"))))
        fixture.decide(TrafficEvent.BackendsChanged(emptyList()))
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1"))))
        fixture.decide(arrival(1))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
    }

    @Test
    fun `uses a later lifetime of a server although an earlier one said that it is leaving`() {
        val fixture = fixture(plainServers = 1)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1").copy(startedWallMilliseconds = 5))))
        fixture.decide(TrafficEvent.ServerLeaving("plain-1", 0))
        fixture.decide(arrival(1))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
    }

    @Test
    fun `starts no task at an engine that said so and goes on with the one that runs there`() {
        val fixture = fixture(engines = 1)
        val run = fixture.startJob(1).single()
        fixture.decide(TrafficEvent.ServerLeaving(run.server, run.serverStartedWallMilliseconds))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).isEmpty()
        fixture.deliverEvents(run)
        fixture.decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, true, detail = "closed"))
        fixture.nowMilliseconds += 10_000
        expectThat(fixture.decide(TrafficEvent.Tick).filterIsInstance<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `sends no weight order to an engine whose report says that it is leaving`() {
        val pool = EnginePool(listOf(MODEL), listOf(engine("engine-1")))
        val listed = decideWeights(WeightState(), WeightEvent.ListsChanged(mapOf(MODEL to 2L), listOf(pool)), 0).state
        val started = decideWeights(listed, WeightEvent.Tick, 0)
        expectThat(started.effects.filterIsInstance<WeightEffect.ReadReport>()).hasSize(1)
        val leaving = decideWeights(started.state, WeightEvent.ServerLeaving("engine-1", null), 1).state
        val report = EngineReport(listOf(ServedModel(MODEL, 1)), busy = false, acceptedOrders = 0)
        val reported = decideWeights(leaving, WeightEvent.ReportRead("engine-1", report), 2)
        expectThat(reported.effects.filterIsInstance<WeightEffect.Order>()).isEmpty()
        val reread = WeightEvent.ListsChanged(mapOf(MODEL to 2L), listOf(pool))
        val later = decideWeights(decideWeights(reported.state, reread, 3).state, WeightEvent.Tick, 9_000)
        expectThat(later.effects.filterIsInstance<WeightEffect.ReadReport>()).isEmpty()
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `sends nothing to a lifetime that said so whatever the list reads and however attempts end`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 11, iterations = 1_000), Arb.list(steps, 1..40)) { script ->
                val model = LeavingModel()
                script.forEach { step -> model.apply(step) }
                expectThat(model.wrongSends).isEmpty()
            }
        }
    }
}

private enum class StepKind { ARRIVE, ANNOUNCE, LIST, DROP, ANSWER_NOT_RUN, FAIL, ANSWER, TICK }

private data class LeavingStep(
    val kind: StepKind,
    val server: Int,
    val start: Int,
    val isDraining: Boolean,
)

private val steps = Arb.bind(Arb.element(StepKind.entries), Arb.int(1..3), Arb.int(0..2), Arb.boolean(), ::LeavingStep)

/** Applies steps to the decisions and collects the sends to lifetimes that had said that they are leaving. */
private class LeavingModel {
    private val fixture = fixture(RequestKind.IDEMPOTENT)
    private val listed = (1..3).associate { "plain-$it" to plainServer("plain-$it") }.toMutableMap()
    private val announced = HashMap<String, Int>()
    private val open = ArrayList<TrafficEffect.Send>()
    private var requests = 0L
    val wrongSends = ArrayList<TrafficEffect.Send>()

    fun apply(step: LeavingStep) {
        val id = "plain-${step.server}"
        fixture.nowMilliseconds += 20
        when (step.kind) {
            StepKind.ARRIVE -> decide(arrival(++requests))
            StepKind.TICK -> decide(TrafficEvent.Tick)
            StepKind.LIST, StepKind.DROP -> list(step, id)
            StepKind.ANNOUNCE -> announce(id, step.start)
            StepKind.ANSWER -> answer { response(it) }
            StepKind.ANSWER_NOT_RUN -> answer { response(it, status = 503, notRun = true) }
            StepKind.FAIL -> answer { TrafficEvent.AttemptFailed(it.request, it.attempt, true, detail = "closed") }
        }
    }

    private fun list(
        step: LeavingStep,
        id: String,
    ) {
        val entry = plainServer(id).copy(startedWallMilliseconds = step.start.toLong(), leaving = step.isDraining)
        if (step.kind == StepKind.LIST) listed[id] = entry else listed.remove(id)
        decide(TrafficEvent.BackendsChanged(listed.values.toList()))
    }

    private fun announce(
        id: String,
        start: Int,
    ) {
        announced[id] = maxOf(start, announced[id] ?: 0)
        decide(TrafficEvent.ServerLeaving(id, start.toLong()))
    }

    private fun answer(event: (TrafficEffect.Send) -> TrafficEvent) {
        if (open.isNotEmpty()) decide(event(open.removeAt(0)))
    }

    private fun decide(event: TrafficEvent) {
        val sends = fixture.decide(event).filterIsInstance<TrafficEffect.Send>()
        open += sends
        sends.forEach { send ->
            expectThat(send.serverStartedWallMilliseconds).isEqualTo(listed[send.server]?.startedWallMilliseconds)
            if (send.serverStartedWallMilliseconds <= (announced[send.server] ?: -1)) wrongSends += send
        }
    }
}
