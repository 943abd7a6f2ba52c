package org.mulberrypin.service.supply

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.supply.OrderEvent
import org.mulberrypin.decisions.supply.OrderState
import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.decisions.supply.SupplyPlanInput
import org.mulberrypin.decisions.supply.SupplyTarget
import org.mulberrypin.decisions.supply.decideOrders
import org.mulberrypin.decisions.supply.group
import org.mulberrypin.decisions.supply.planSupply
import org.mulberrypin.decisions.supply.supplyOffers
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.EntryContext

/** The supply duty: recomputes the supply plan periodically and passes events to the order decision. */
internal class SupplyDuty(
    private val context: EntryContext,
    private val currentLease: (String) -> HeldLease?,
    private val shard: String,
    private val enqueue: (SupplyOperation) -> Boolean,
) {
    private var state = OrderState(orderTimeLimitsOf(context.settings, shard))
    private var configuration = Configuration()
    private var demands: List<SupplyDemand>? = null
    private var target: SupplyTarget? = null
    private var nextPlanMilliseconds = 0L

    fun handle(event: SupplyEvent) {
        when (event) {
            is SupplyEvent.ConfigurationChanged -> {
                configuration = event.configuration
            }

            is SupplyEvent.DemandChanged -> {
                demands = event.demands
            }

            is SupplyEvent.Answer -> {
                decide(event.event)
                continueOrders()
            }
        }
    }

    fun tick() {
        val now = context.clock.readMilliseconds()
        if (now >= nextPlanMilliseconds) {
            nextPlanMilliseconds = now + context.settings.supply.planMilliseconds
            plan()
        }
        continueOrders()
    }

    private fun plan() {
        val knownDemands = demands ?: return
        val offers = supplyOffers(configuration, { RECLAIMS_PER_HOUR }, AVAILABLE_PER_GROUP)
        val amounts = state.row
            ?.record
            ?.amounts
            .orEmpty()
        val input = SupplyPlanInput(
            demands = knownDemands,
            offers = offers,
            current = amounts.associate { it.group() to it.ordered },
            budgetCentsPerHour = configuration.budgetCentsPerHour,
        )
        val prices = offers.associate { it.group to it.priceCentsPerHour }
        target = SupplyTarget(planSupply(input), prices, configuration.budgetCentsPerHour)
    }

    private fun continueOrders() {
        val wanted = target ?: return
        decide(OrderEvent.Tick(currentLease(orderLease(shard)), wanted, context.clock.readWallMilliseconds()))
    }

    private fun decide(event: OrderEvent) {
        val transition = decideOrders(state, event, context.clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach { effect ->
            if (!enqueue(SupplyOperation(effect))) decide(OrderEvent.Failed(effect.attempt))
        }
    }

    private companion object {
        private const val RECLAIMS_PER_HOUR = 0.05
        private const val AVAILABLE_PER_GROUP = 1_000
    }
}
