package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.capacity.CapacityEffect
import org.mulberrypin.decisions.capacity.CapacityEvent
import org.mulberrypin.decisions.capacity.CapacityMode
import org.mulberrypin.decisions.capacity.CapacityState
import org.mulberrypin.decisions.capacity.EngineOrderAnswer
import org.mulberrypin.decisions.capacity.OrderablePool
import org.mulberrypin.decisions.capacity.decideCapacity
import org.mulberrypin.decisions.division.SmoothedDemand
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.OrderAnswer
import org.mulberrypin.platform.deployment.SupplyOrder
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ServingPool

/**
 * Dependencies of the supply manager.
 *
 * @property currentHold returns the lease of the singleton duties while this instance holds it, otherwise null
 * @property onEvent queues an event for the control thread
 * @property showCapacity shows the expected and the serving engines of a pool to an operator
 */
internal data class SupplyPorts(
    val backends: BackendCalls,
    val clock: ServiceClock,
    val log: DecisionLog,
    val currentHold: () -> HeldLease?,
    val onEvent: (CapacityEvent) -> Unit,
    val showCapacity: (pool: String, expected: Int, serving: Int) -> Unit,
)

/** Orders engines while this instance holds the lease. All functions run on the thread of the control duty. */
internal class SupplyManager(
    private val holder: String,
    mode: CapacityMode,
    private val ports: SupplyPorts,
) {
    private var state = CapacityState(mode)

    fun handle(event: CapacityEvent) {
        val transition = decideCapacity(state, event, ports.clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    /** Applies the lists of pools and engines; only pools with limits of their supply can have engines ordered. */
    fun updateLists(
        pools: List<ServingPool>,
        engines: List<BackendServerEntry>,
    ) {
        val orderable = pools.mapNotNull { pool ->
            pool.supply?.let { limits ->
                OrderablePool(pool.name, pool.models, limits, engines.filter { it.pool == pool.name })
            }
        }
        handle(CapacityEvent.ListsChanged(orderable))
        state.pools.values.forEach { pool ->
            ports.showCapacity(pool.name, pool.expected, pool.engines.values.count { !it.leaving })
        }
    }

    fun tick(demand: Map<String, SmoothedDemand>) =
        handle(CapacityEvent.Tick(ports.currentHold()?.fencingNumber, demand))

    private fun perform(effect: CapacityEffect) {
        when (effect) {
            is CapacityEffect.Explain -> ports.log.write(
                SOURCE,
                effect.subject,
                effect.decision,
                "platform",
                effect.inputs,
            )

            is CapacityEffect.Order -> order(effect)
        }
    }

    private fun order(effect: CapacityEffect.Order) {
        if (ports.currentHold()?.fencingNumber != effect.fencingNumber) return
        val group = effect.group
        val order = SupplyOrder(
            pool = group.pool,
            failureDomain = group.failureDomain,
            reclaimable = group.reclaimable,
            engines = effect.target,
            holder = holder,
            fencingNumber = effect.fencingNumber,
        )
        ports.backends.orderEngines(order) { outcome ->
            val answer = when (outcome) {
                is Outcome.Failure -> EngineOrderAnswer.UNKNOWN

                is Outcome.Success -> if (outcome.value in accepted) {
                    EngineOrderAnswer.ACCEPTED
                } else {
                    EngineOrderAnswer.UNAVAILABLE
                }
            }
            ports.onEvent(CapacityEvent.OrderAnswered(group, effect.target, answer, outcome.toString()))
        }
    }

    private companion object {
        private const val SOURCE = "supply"
        private val accepted = setOf(OrderAnswer.ACCEPTED, OrderAnswer.DONE)
    }
}
