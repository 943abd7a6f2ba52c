/**
 * Decides which engine loads which version of a model. Each engine is asked for its report before an order, and the
 * order is conditional on the number of orders in that report, so that an order that arrives late changes nothing.
 */
package org.mulberrypin.decisions.weights

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BackendServerEntry

/** Decides an event of the holder of the order duty. */
public fun decideWeights(
    state: WeightState,
    event: WeightEvent,
    nowMilliseconds: Long,
): Transition<WeightState, WeightEffect> =
    when (event) {
        is WeightEvent.ListsChanged -> Transition(state.copy(named = event.named, pools = event.pools))
        is WeightEvent.ReportRead -> state.acceptReport(event, nowMilliseconds)
        is WeightEvent.OrderAccepted -> Transition(state.accepted(event.engine))
        is WeightEvent.StepFailed -> state.acceptFailure(event)
        WeightEvent.Ticked -> state.beginOrders(nowMilliseconds)
        WeightEvent.DutyLost -> Transition(state.copy(underWay = emptyMap()))
    }

private fun WeightState.accepted(engine: String): WeightState {
    val order = underWay[engine] ?: return this
    return copy(underWay = underWay + (engine to order.copy(accepted = true)))
}

private fun WeightState.acceptFailure(event: WeightEvent.StepFailed): Transition<WeightState, WeightEffect> =
    Transition(this, listOf(WeightEffect.Explain(event.engine, "order step failed", event.detail)))

private fun WeightState.beginOrders(nowMilliseconds: Long): Transition<WeightState, WeightEffect> {
    val open = underWay.filter { (id, order) -> !isOver(id, order, nowMilliseconds) }
    var room = LOADS_AT_ONCE - open.size
    val begun = LinkedHashMap(open)
    val effects = ArrayList<WeightEffect>()
    for (pool in pools) {
        val present = pool.engines.filter { !it.leaving }
        val models = assignModels(present, pool.models)
        val due = present
            .filter { it.id !in open }
            .mapNotNull { engine -> dueOrder(engine, models[engine.id], nowMilliseconds) }
            .take(room.coerceAtLeast(0))
        room -= due.size
        due.forEach { (engine, order) ->
            begun[engine.id] = order
            effects.add(WeightEffect.ReadReport(engine))
        }
    }
    return Transition(copy(underWay = begun), effects)
}

private fun WeightState.dueOrder(
    engine: BackendServerEntry,
    model: String?,
    nowMilliseconds: Long,
): Pair<BackendServerEntry, OrderUnderWay>? {
    val version = model?.let(named::get) ?: return null
    return if (versionOf(engine, model) >= version) null else engine to OrderUnderWay(model, version, nowMilliseconds)
}

private fun WeightState.isOver(
    id: String,
    order: OrderUnderWay,
    nowMilliseconds: Long,
): Boolean {
    val engine = pools.flatMap { it.engines }.firstOrNull { it.id == id } ?: return true
    val limit = if (order.accepted) LOAD_MILLISECONDS else STEP_MILLISECONDS
    return versionOf(engine, order.model) >= order.version || nowMilliseconds - order.begunMilliseconds > limit
}

private fun WeightState.acceptReport(
    event: WeightEvent.ReportRead,
    nowMilliseconds: Long,
): Transition<WeightState, WeightEffect> {
    val order = underWay[event.engine]?.takeIf { !it.accepted } ?: return Transition(this)
    val engine = pools.flatMap { it.engines }.firstOrNull { it.id == event.engine } ?: return Transition(this)
    val held = event.report.models
        .firstOrNull { it.name == order.model }
        ?.version ?: 0
    val inputs = "model=${order.model} version=${order.version} held=$held busy=${event.report.busy} " +
        "acceptedOrders=${event.report.acceptedOrders}"
    return if (held >= order.version || event.report.busy) {
        Transition(this, listOf(WeightEffect.Explain(event.engine, "order not needed yet", inputs)))
    } else {
        val begun = copy(underWay = underWay + (engine.id to order.copy(begunMilliseconds = nowMilliseconds)))
        Transition(
            begun,
            listOf(
                WeightEffect.Explain(event.engine, "ordered", inputs),
                WeightEffect.Order(engine, order.model, order.version, event.report.acceptedOrders),
            ),
        )
    }
}

private fun versionOf(
    engine: BackendServerEntry,
    model: String,
): Long = engine.models.firstOrNull { it.name == model }?.version ?: 0

/** Engines that load at the same time; more than two slow each other down at the weight store. */
private const val LOADS_AT_ONCE = 2

/** Time after which a report or an order that was not answered is begun again, in milliseconds. */
private const val STEP_MILLISECONDS = 1_000L

/** Time after which an accepted order that the list does not show is begun again, in milliseconds. */
private const val LOAD_MILLISECONDS = 4_000L
