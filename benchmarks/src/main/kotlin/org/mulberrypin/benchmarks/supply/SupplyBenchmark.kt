/**
 * Compares planned with fixed supply over one simulated day, with a daily demand cycle plus noise, reclaims of whole
 * failure domains, and a start-up time of backend servers. All policies get the same demand and reclaims. The only
 * argument is the seed.
 */
package org.mulberrypin.benchmarks.supply

import org.mulberrypin.decisions.supply.ServerGroup
import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.decisions.supply.SupplyOffer
import org.mulberrypin.decisions.supply.SupplyPlanInput
import org.mulberrypin.decisions.supply.SupplyPolicy
import org.mulberrypin.decisions.supply.fixedSupplyPolicy
import org.mulberrypin.decisions.supply.planSupply
import kotlin.math.PI
import kotlin.math.cos
import kotlin.random.Random

private const val STEP_SECONDS = 15
private const val STEPS = 24 * 3600 / STEP_SECONDS
private const val STARTUP_STEPS = 8
private const val SLOTS = 8
private const val PERMANENT_CENTS = 400L
private const val RECLAIMABLE_CENTS = 140L
private const val RECLAIMS_PER_HOUR = 0.1
private const val FORECAST_WEIGHT = 0.3
private const val BUDGET_CENTS = 12_000L

private data class DemandStep(
    val fixedSlots: Double,
    val movableSlots: Double,
    val reclaimedDomain: String?,
)

private data class Totals(
    val cents: Double = 0.0,
    val served: Double = 0.0,
    val unserved: Double = 0.0,
    val onReclaimable: Double = 0.0,
    val interruptedFixed: Double = 0.0,
    val changes: Int = 0,
    val highestCentsPerHour: Long = 0,
)

private val domains = listOf("a", "b", "c")

private val offers = domains.flatMap { domain ->
    listOf(
        SupplyOffer(ServerGroup("pool", domain, false), PERMANENT_CENTS, 0.0, available = 20),
        SupplyOffer(ServerGroup("pool", domain, true), RECLAIMABLE_CENTS, RECLAIMS_PER_HOUR, available = 20),
    )
}

private val prices = offers.associate { it.group to it.priceCentsPerHour }

private fun generateDemand(random: Random): List<DemandStep> =
    List(STEPS) { step ->
        val dailyCycle = (1 - cos(2 * PI * step / STEPS)) / 2
        val reclaimed = domains.firstOrNull { random.nextDouble() < RECLAIMS_PER_HOUR * STEP_SECONDS / 3600 }
        DemandStep(
            fixedSlots = (10 + 30 * dailyCycle) * random.nextDouble(0.9, 1.1),
            movableSlots = (30 + 80 * dailyCycle) * random.nextDouble(0.85, 1.15),
            reclaimedDomain = reclaimed,
        )
    }

private fun simulate(
    policy: SupplyPolicy,
    demand: List<DemandStep>,
): Totals {
    var ordered = emptyMap<ServerGroup, Int>()
    val pipeline = ArrayDeque<Map<ServerGroup, Int>>()
    var forecast = demand.first()
    return demand.fold(Totals()) { totals, step ->
        forecast = smooth(forecast, step)
        val next = policy(planInput(forecast, ordered))
        pipeline.addLast(next)
        if (pipeline.size > STARTUP_STEPS) pipeline.removeFirst()
        val running = next.mapValues { (group, count) -> pipeline.minOf { minOf(it[group] ?: 0, count) } }
        val surviving = running.filterKeys { !it.reclaimable || it.failureDomain != step.reclaimedDomain }
        if (step.reclaimedDomain != null) pipeline.replaceAll { counts -> counts.filterKeys { it in surviving.keys } }
        val changeCount = if (next == ordered) 0 else 1
        ordered = next
        totals.add(step, surviving, next, changeCount)
    }
}

private fun smooth(
    previous: DemandStep,
    step: DemandStep,
): DemandStep =
    DemandStep(
        previous.fixedSlots + FORECAST_WEIGHT * (step.fixedSlots - previous.fixedSlots),
        previous.movableSlots + FORECAST_WEIGHT * (step.movableSlots - previous.movableSlots),
        null,
    )

private fun planInput(
    forecast: DemandStep,
    ordered: Map<ServerGroup, Int>,
): SupplyPlanInput {
    val startupMilliseconds = STARTUP_STEPS * STEP_SECONDS * 1_000L
    val demand = SupplyDemand("pool", forecast.fixedSlots, forecast.movableSlots, SLOTS, 0, startupMilliseconds)
    return SupplyPlanInput(listOf(demand), offers, ordered, BUDGET_CENTS)
}

private fun Totals.add(
    step: DemandStep,
    running: Map<ServerGroup, Int>,
    ordered: Map<ServerGroup, Int>,
    changeCount: Int,
): Totals {
    val permanent = running.filterKeys { !it.reclaimable }.values.sum() * SLOTS.toDouble()
    val reclaimable = running.filterKeys { it.reclaimable }.values.sum() * SLOTS.toDouble()
    val fixedServed = minOf(step.fixedSlots, permanent)
    val movableOnReclaimable = minOf(step.movableSlots, reclaimable)
    val movableOnPermanent = minOf(step.movableSlots - movableOnReclaimable, permanent - fixedServed)
    val served = fixedServed + movableOnReclaimable + movableOnPermanent
    val centsPerHour = ordered.entries.sumOf { (group, count) -> prices.getValue(group) * count }
    return Totals(
        cents = cents + centsPerHour * STEP_SECONDS / 3600.0,
        served = this.served + served,
        unserved = unserved + step.fixedSlots + step.movableSlots - served,
        onReclaimable = onReclaimable + movableOnReclaimable,
        interruptedFixed = interruptedFixed + step.fixedSlots - fixedServed,
        changes = changes + changeCount,
        highestCentsPerHour = maxOf(highestCentsPerHour, centsPerHour),
    )
}

private fun printTotals(
    name: String,
    totals: Totals,
) {
    val slotHours = totals.served * STEP_SECONDS / 3600
    val all = totals.served + totals.unserved
    println(
        "%-22s %9.2f %12.1f%% %10.2f%% %10.2f%% %8d %12d".format(
            name,
            totals.cents / slotHours,
            100 * totals.onReclaimable / totals.served,
            100 * totals.unserved / all,
            100 * totals.interruptedFixed / all,
            totals.changes,
            totals.highestCentsPerHour,
        ),
    )
}

/** Prints one line for each policy. */
public fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toLong() ?: 1
    val demand = generateDemand(Random(seed))
    println("seed $seed, $STEPS steps of $STEP_SECONDS s, budget $BUDGET_CENTS cents an hour")
    println("policy                 cents/slot-h  on cheaper   unserved  fixed work  changes  highest c/h")
    printTotals("fixed, for the peak", simulate(fixedSupplyPolicy(serversPerPool = 21), demand))
    printTotals("fixed, for the mean", simulate(fixedSupplyPolicy(serversPerPool = 13), demand))
    printTotals("planned", simulate(::planSupply, demand))
}
