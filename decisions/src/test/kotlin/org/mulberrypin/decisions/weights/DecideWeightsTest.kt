package org.mulberrypin.decisions.weights

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.EngineReport
import org.mulberrypin.schema.generated.ServedModel
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class DecideWeightsTest {
    private val models = listOf("a", "b", "c")

    @Test
    fun `divides the engines evenly among the models`() {
        val assigned = assigned((1..7).map { engine("e$it") })
        expectThat(assigned.values.groupingBy { it }.eachCount()).isEqualTo(mapOf("a" to 3, "b" to 2, "c" to 2))
    }

    @Test
    fun `keeps a model on the engines that have its newest weights`() {
        val engines = (1..6).map { engine("e$it", b = if (it >= 5) 4 else 1) }
        val assigned = assigned(engines)
        expectThat(assigned.filterValues { it == "b" }.keys).isEqualTo(setOf("e5", "e6"))
    }

    @Test
    fun `reads a report first and makes the order conditional on its order count`() {
        var state = stateWith(mapOf("a" to 2L))
        val started = decideWeights(state, WeightEvent.Tick, 0)
        val engine = started.effects
            .filterIsInstance<WeightEffect.ReadReport>()
            .first()
            .engine
        val report = EngineReport(listOf(ServedModel("a", 1)), busy = false, acceptedOrders = 5)
        val ordered = decideWeights(started.state, WeightEvent.ReportRead(engine.id, report), 10)
        val order = ordered.effects.filterIsInstance<WeightEffect.Order>().single()
        expectThat(order.acceptedOrders).isEqualTo(5)
        expectThat(order.version).isEqualTo(2)
        state = decideWeights(ordered.state, WeightEvent.OrderAccepted(engine.id), 20).state
        val again = decideWeights(state, WeightEvent.Tick, 100).effects.filterIsInstance<WeightEffect.ReadReport>()
        expectThat(again.filter { it.engine.id == engine.id }).isEmpty()
    }

    @Test
    fun `loads weights on at most two engines at a time`() {
        val state = stateWith(models.associateWith { 2L })
        expectThat(decideWeights(state, WeightEvent.Tick, 0).effects).hasSize(2)
    }

    @Test
    fun `sends no order for a version that an engine has, or to an engine that is loading`() {
        val started = decideWeights(stateWith(mapOf("a" to 2L)), WeightEvent.Tick, 0)
        val engine = started.effects
            .filterIsInstance<WeightEffect.ReadReport>()
            .first()
            .engine
        val loaded = EngineReport(listOf(ServedModel("a", 2)), busy = false, acceptedOrders = 5)
        val busy = EngineReport(listOf(ServedModel("a", 1)), busy = true, acceptedOrders = 5)
        for (report in listOf(loaded, busy)) {
            val effects = decideWeights(started.state, WeightEvent.ReportRead(engine.id, report), 10).effects
            expectThat(effects.filterIsInstance<WeightEffect.Order>()).isEmpty()
        }
    }

    @Test
    fun `reads the report again after an order timed out`() {
        val started = decideWeights(stateWith(mapOf("a" to 2L)), WeightEvent.Tick, 0)
        val later = decideWeights(started.state, WeightEvent.Tick, 1_100).effects
        expectThat(later).isEqualTo(started.effects)
    }

    private fun assigned(engines: List<BackendServerEntry>) = assignModels(engines, EnginePool(models, engines))

    private fun stateWith(targetVersions: Map<String, Long>): WeightState {
        val pool = EnginePool(models, (1..6).map { engine("e$it") })
        return decideWeights(WeightState(), WeightEvent.ListsChanged(targetVersions, listOf(pool)), 0).state
    }

    private fun engine(
        id: String,
        b: Long = 1,
    ) = BackendServerEntry(
        id = id,
        slots = 8,
        models = listOf(ServedModel("a", 1), ServedModel("b", b), ServedModel("c", 1)),
    )
}
