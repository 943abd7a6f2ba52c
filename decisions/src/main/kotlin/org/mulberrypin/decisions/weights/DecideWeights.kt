/**
 * Decides which engine loads which weight version of a model. Before each order, the instance reads the engine's
 * report; the order is conditional on the order count in that report, so that the engine rejects an order that arrives
 * late.
 */
package org.mulberrypin.decisions.weights

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.traffic.mark
import org.mulberrypin.decisions.traffic.with

/** Applies an event; only the instance that holds the lease for weight orders sends orders. */
public fun decideWeights(
    state: WeightState,
    event: WeightEvent,
    nowMilliseconds: Long,
): Transition<WeightState, WeightEffect> =
    when (event) {
        is WeightEvent.ListsChanged -> Transition(
            state.copy(targetVersions = event.targetVersions, pools = event.pools).withMarkedEngines(),
        )

        is WeightEvent.ServerLeaving -> Transition(state.withLeavingEngine(event))

        is WeightEvent.ReportRead -> state.handleReport(event, nowMilliseconds)

        is WeightEvent.OrderAccepted -> Transition(state.withAcceptedOrder(event.engine))

        is WeightEvent.StepFailed -> state.handleStepFailure(event)

        WeightEvent.Tick -> state.startOrders(nowMilliseconds)

        WeightEvent.LeaseLost -> Transition(state.copy(pendingOrders = emptyMap()))
    }

private fun WeightState.withLeavingEngine(event: WeightEvent.ServerLeaving): WeightState {
    val listed = pools.flatMap { it.engines }.firstOrNull { it.id == event.engine }
    val started = event.startedWallMilliseconds ?: listed?.startedWallMilliseconds ?: return this
    return copy(leavingServers = leavingServers.with(event.engine, started)).withMarkedEngines()
}

private fun WeightState.withMarkedEngines(): WeightState =
    copy(pools = pools.map { it.copy(engines = it.engines.map(leavingServers::mark)) })

private fun WeightState.withAcceptedOrder(engine: String): WeightState {
    val order = pendingOrders[engine] ?: return this
    return copy(pendingOrders = pendingOrders + (engine to order.copy(accepted = true)))
}

private fun WeightState.handleStepFailure(event: WeightEvent.StepFailed): Transition<WeightState, WeightEffect> =
    Transition(this, listOf(WeightEffect.Explain(event.engine, "order step failed", event.detail)))

private fun WeightState.startOrders(nowMilliseconds: Long): Transition<WeightState, WeightEffect> {
    val unfinished = pendingOrders.filter { (id, order) -> !isFinished(id, order, nowMilliseconds) }
    var remainingLoads = maxConcurrentLoads(pools.sumOf { it.engines.size }) - unfinished.size
    val started = LinkedHashMap(unfinished)
    val effects = ArrayList<WeightEffect>()
    for (pool in pools) {
        val due = dueLoads(pool, targetVersions)
            .filter { it.engine.id !in unfinished }
            .take(remainingLoads.coerceAtLeast(0))
        remainingLoads -= due.size
        due.forEach { load ->
            started[load.engine.id] = PendingOrder(load.model, load.version, nowMilliseconds)
            effects.add(WeightEffect.ReadReport(load.engine))
        }
    }
    return Transition(copy(pendingOrders = started), effects)
}

private fun WeightState.isFinished(
    id: String,
    order: PendingOrder,
    nowMilliseconds: Long,
): Boolean {
    val engine = pools.flatMap { it.engines }.firstOrNull { it.id == id } ?: return true
    val limit = if (order.accepted) LOAD_TIMEOUT_MILLISECONDS else STEP_TIMEOUT_MILLISECONDS
    return versionOf(engine, order.model) >= order.version || nowMilliseconds - order.startedMilliseconds > limit
}

private fun WeightState.handleReport(
    event: WeightEvent.ReportRead,
    nowMilliseconds: Long,
): Transition<WeightState, WeightEffect> {
    val order = pendingOrders[event.engine]?.takeIf { !it.accepted } ?: return Transition(this)
    val engine = pools.flatMap { it.engines }.firstOrNull { it.id == event.engine } ?: return Transition(this)
    val loadedVersion = event.report.models
        .firstOrNull { it.name == order.model }
        ?.version ?: 0
    val inputs = "model=${order.model} version=${order.version} held=$loadedVersion busy=${event.report.busy} " +
        "acceptedOrders=${event.report.acceptedOrders} leaving=${engine.leaving}"
    return if (loadedVersion >= order.version || event.report.busy || engine.leaving) {
        Transition(this, listOf(WeightEffect.Explain(event.engine, "order not needed yet", inputs)))
    } else {
        val next =
            copy(pendingOrders = pendingOrders + (engine.id to order.copy(startedMilliseconds = nowMilliseconds)))
        Transition(
            next,
            listOf(
                WeightEffect.Explain(event.engine, "ordered", inputs),
                WeightEffect.Order(engine, order.model, order.version, event.report.acceptedOrders),
            ),
        )
    }
}

/** Time after which a pending order that the engine has not accepted is started again, in milliseconds. */
private const val STEP_TIMEOUT_MILLISECONDS = 1_000L

/** Time after which an accepted order is started again if the version is still not listed, in milliseconds. */
private const val LOAD_TIMEOUT_MILLISECONDS = 4_000L
