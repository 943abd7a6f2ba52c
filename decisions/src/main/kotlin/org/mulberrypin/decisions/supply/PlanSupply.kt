/**
 * Plans the number of backend servers by pool, failure domain and reclaimability. Work that cannot be moved is placed
 * on non-reclaimable servers; movable work mostly on cheaper reclaimable ones, spread over failure domains so that a
 * reclaim affects only some of them. If the budget is exceeded, reclaimable servers are removed first, so that work
 * that cannot be moved retains its servers.
 */
package org.mulberrypin.decisions.supply

import kotlin.math.ceil
import kotlin.math.min

/** The policy in production use: follows the forecast demand, with hysteresis and within the budgets. */
public fun planSupply(input: SupplyPlanInput): Map<ServerGroup, Int> {
    val wanted = input.demands.fold(emptyMap<ServerGroup, Int>()) { plan, demand -> plan + planPool(demand, input) }
    val damped = applyHysteresis(wanted, input)
    val prices = input.offers.associate { it.group to it.priceCentsPerHour }
    val withinPoolBudgets = input.demands.fold(damped) { plan, demand ->
        val (own, others) = plan.entries.partition { it.key.pool == demand.pool }
        val limited = limitToBudget(own.associate { it.toPair() }, prices, demand.budgetCentsPerHour)
        others.associate { it.toPair() } + limited
    }
    return limitToBudget(withinPoolBudgets, prices, input.budgetCentsPerHour).filterValues { it > 0 }
}

/** A baseline policy: [serversPerPool] non-reclaimable servers regardless of the demand, within the budget. */
public fun fixedSupplyPolicy(serversPerPool: Int): SupplyPolicy =
    { input ->
        val fixed = input.demands.flatMap { demand ->
            val offers = input.offers.filter { it.group.pool == demand.pool && !it.group.reclaimable }
            distribute(serversPerPool, offers).entries
        }
        val prices = input.offers.associate { it.group to it.priceCentsPerHour }
        limitToBudget(fixed.associate { it.toPair() }, prices, input.budgetCentsPerHour)
    }

private fun planPool(
    demand: SupplyDemand,
    input: SupplyPlanInput,
): Map<ServerGroup, Int> {
    val offers = input.offers.filter { it.group.pool == demand.pool }
    val (reclaimable, nonReclaimable) = offers.partition { it.group.reclaimable }
    val cheaperReclaimable = reclaimable.filter { offer -> isCheaper(offer, nonReclaimable, input.rules) }
    val serversPerSlot = (1 + input.rules.headroomRatio) / demand.slotsPerServer
    val total = ceil((demand.fixedSlots + demand.movableSlots) * serversPerSlot).toInt()
    val reclaimableCount = (demand.movableSlots * serversPerSlot * input.rules.reclaimableRatio).toInt()
    val onReclaimable = distribute(min(reclaimableCount, total), cheaperReclaimable)
    return distribute(total - onReclaimable.values.sum(), nonReclaimable) + onReclaimable
}

/**
 * Returns whether [offer] is cheaper than every non-reclaimable one, including the expected cost of reclaims; also true
 * if there is no non-reclaimable offer.
 */
private fun isCheaper(
    offer: SupplyOffer,
    nonReclaimable: List<SupplyOffer>,
    rules: SupplyRules,
): Boolean {
    val expectedCentsPerHour = offer.priceCentsPerHour * (1 + offer.reclaimsPerHour * rules.reclaimPenaltyHours)
    return nonReclaimable.isEmpty() || expectedCentsPerHour < nonReclaimable.minOf { it.priceCentsPerHour }
}

/** Distributes servers evenly over the offers, up to what is available, starting with the cheapest offer. */
private fun distribute(
    servers: Int,
    offers: List<SupplyOffer>,
): Map<ServerGroup, Int> {
    val ordered = offers.sortedWith(compareBy({ it.priceCentsPerHour }, { it.group.failureDomain }))
    val counts = IntArray(ordered.size)
    repeat(servers) {
        val available = ordered.indices.filter { counts[it] < ordered[it].available }
        available.minByOrNull { counts[it] }?.let { counts[it] += 1 }
    }
    return ordered.mapIndexed { index, offer -> offer.group to counts[index] }.toMap()
}

/** Scales up immediately, but scales down only if the surplus exceeds [SupplyRules.shrinkRatio]. */
private fun applyHysteresis(
    wanted: Map<ServerGroup, Int>,
    input: SupplyPlanInput,
): Map<ServerGroup, Int> {
    val available = input.offers.associate { it.group to it.available }
    return (wanted.keys + input.current.keys).associateWith { group ->
        val current = min(input.current[group] ?: 0, available[group] ?: 0)
        val planned = wanted[group] ?: 0
        val surplus = current - planned
        if (surplus > 0 && surplus <= ceil(current * input.rules.shrinkRatio).toInt()) current else planned
    }
}

/** Removes servers, the most expensive reclaimable ones first, until the spending is within the budget. */
internal fun limitToBudget(
    plan: Map<ServerGroup, Int>,
    prices: Map<ServerGroup, Long>,
    budgetCentsPerHour: Long,
): Map<ServerGroup, Int> {
    if (budgetCentsPerHour == 0L) return plan
    val limited = plan.toMutableMap()
    val ordered = plan.keys.sortedWith(compareBy({ !it.reclaimable }, { -(prices[it] ?: 0) }, { it.failureDomain }))
    var spendingCentsPerHour = plan.entries.sumOf { (group, count) -> (prices[group] ?: 0) * count }
    ordered.forEach { group ->
        val priceCentsPerHour = prices[group] ?: 0
        while (spendingCentsPerHour > budgetCentsPerHour && priceCentsPerHour > 0 && limited.getValue(group) > 0) {
            limited[group] = limited.getValue(group) - 1
            spendingCentsPerHour -= priceCentsPerHour
        }
    }
    return limited
}
