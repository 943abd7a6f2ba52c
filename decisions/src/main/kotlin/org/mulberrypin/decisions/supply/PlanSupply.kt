/**
 * Plans how many backend servers of which kind are wanted in which failure domain. Work that cannot be moved is placed
 * on servers that stay; movable work mostly on the cheaper ones, spread over failure domains so that a reclaim takes
 * only a part. Within the budget, work that cannot be moved comes first.
 */
package org.mulberrypin.decisions.supply

import kotlin.math.ceil
import kotlin.math.min

/** The chosen policy. */
public fun planSupply(input: SupplyPlanInput): Map<SupplyPlace, Int> {
    val wanted = input.demands.fold(emptyMap<SupplyPlace, Int>()) { plan, demand -> plan + wantedFor(demand, input) }
    val steady = keepAgainstFlapping(wanted, input)
    val prices = input.offers.associate { it.place to it.priceCentsPerHour }
    val perPool = input.demands.fold(steady) { plan, demand ->
        val (own, others) = plan.entries.partition { it.key.pool == demand.pool }
        val limited = limitSpending(own.associate { it.toPair() }, prices, demand.budgetCentsPerHour)
        others.associate { it.toPair() } + limited
    }
    return limitSpending(perPool, prices, input.budgetCentsPerHour).filterValues { it > 0 }
}

/** The baseline: as many servers that stay as the number given, whatever the demand, within the budget. */
public fun fixedSupply(serversPerPool: Int): SupplyPolicy =
    { input ->
        val fixed = input.demands.flatMap { demand ->
            val offers = input.offers.filter { it.place.pool == demand.pool && !it.place.reclaimable }
            spread(serversPerPool, offers).entries
        }
        val prices = input.offers.associate { it.place to it.priceCentsPerHour }
        limitSpending(fixed.associate { it.toPair() }, prices, input.budgetCentsPerHour)
    }

private fun wantedFor(
    demand: SupplyDemand,
    input: SupplyPlanInput,
): Map<SupplyPlace, Int> {
    val offers = input.offers.filter { it.place.pool == demand.pool }
    val (reclaimable, staying) = offers.partition { it.place.reclaimable }
    val worthwhile = reclaimable.filter { offer -> isWorthwhile(offer, staying, input.rules) }
    val factor = (1 + input.rules.headroomRatio) / demand.slotsPerServer
    val total = ceil((demand.fixedSlots + demand.movableSlots) * factor).toInt()
    val moved = (demand.movableSlots * factor * input.rules.reclaimableRatio).toInt()
    val cheap = spread(min(moved, total), worthwhile)
    return spread(total - cheap.values.sum(), staying) + cheap
}

private fun isWorthwhile(
    offer: SupplyOffer,
    staying: List<SupplyOffer>,
    rules: SupplyRules,
): Boolean {
    val expectedCents = offer.priceCentsPerHour * (1 + offer.reclaimPerHour * rules.reclaimPenaltyHours)
    return staying.isEmpty() || expectedCents < staying.minOf { it.priceCentsPerHour }
}

/** Spreads servers evenly over the offers, the cheaper ones first, as far as they are available. */
private fun spread(
    servers: Int,
    offers: List<SupplyOffer>,
): Map<SupplyPlace, Int> {
    val ordered = offers.sortedWith(compareBy({ it.priceCentsPerHour }, { it.place.failureDomain }))
    val counts = IntArray(ordered.size)
    repeat(servers) {
        val open = ordered.indices.filter { counts[it] < ordered[it].available }
        open.minByOrNull { counts[it] }?.let { counts[it] += 1 }
    }
    return ordered.mapIndexed { index, offer -> offer.place to counts[index] }.toMap()
}

/** Grows at once, and shrinks only when enough servers are not needed. */
private fun keepAgainstFlapping(
    wanted: Map<SupplyPlace, Int>,
    input: SupplyPlanInput,
): Map<SupplyPlace, Int> {
    val available = input.offers.associate { it.place to it.available }
    return (wanted.keys + input.current.keys).associateWith { place ->
        val now = min(input.current[place] ?: 0, available[place] ?: 0)
        val next = wanted[place] ?: 0
        val surplus = now - next
        if (surplus > 0 && surplus <= ceil(now * input.rules.shrinkRatio).toInt()) now else next
    }
}

/** Takes servers away, the dearest reclaimable ones first, until the spending is within the budget. */
internal fun limitSpending(
    plan: Map<SupplyPlace, Int>,
    prices: Map<SupplyPlace, Long>,
    budgetCentsPerHour: Long,
): Map<SupplyPlace, Int> {
    if (budgetCentsPerHour == 0L) return plan
    val limited = plan.toMutableMap()
    val order = plan.keys.sortedWith(compareBy({ !it.reclaimable }, { -(prices[it] ?: 0) }, { it.failureDomain }))
    var spending = plan.entries.sumOf { (place, count) -> (prices[place] ?: 0) * count }
    order.forEach { place ->
        val price = prices[place] ?: 0
        while (spending > budgetCentsPerHour && price > 0 && limited.getValue(place) > 0) {
            limited[place] = limited.getValue(place) - 1
            spending -= price
        }
    }
    return limited
}
