/**
 * Compares planned with fixed supply over one simulated day: demand with a daily course and noise, reclaims of whole
 * failure domains, and a start-up time before a new backend server takes work. Both policies see the same demand and
 * the same reclaims. The only argument is the seed.
 */
package org.mulberrypin.benchmarks.supply

import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.decisions.supply.SupplyOffer
import org.mulberrypin.decisions.supply.SupplyPlace
import org.mulberrypin.decisions.supply.SupplyPlanInput
import org.mulberrypin.decisions.supply.SupplyPolicy
import org.mulberrypin.decisions.supply.fixedSupply
import org.mulberrypin.decisions.supply.planSupply
import kotlin.math.PI
import kotlin.math.cos
import kotlin.random.Random

private const val STEP_SECONDS = 15
private const val STEPS = 24 * 3600 / STEP_SECONDS
private const val START_STEPS = 8
private const val SLOTS = 8
private const val STAYING_CENTS = 400L
private const val RECLAIMABLE_CENTS = 140L
private const val RECLAIM_PER_HOUR = 0.1
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
        SupplyOffer(SupplyPlace("pool", domain, false), STAYING_CENTS, 0.0, available = 20),
        SupplyOffer(SupplyPlace("pool", domain, true), RECLAIMABLE_CENTS, RECLAIM_PER_HOUR, available = 20),
    )
}

private val prices = offers.associate { it.place to it.priceCentsPerHour }

private fun demandCourse(random: Random): List<DemandStep> =
    List(STEPS) { step ->
        val course = (1 - cos(2 * PI * step / STEPS)) / 2
        val reclaimed = domains.firstOrNull { random.nextDouble() < RECLAIM_PER_HOUR * STEP_SECONDS / 3600 }
        DemandStep(
            fixedSlots = (10 + 30 * course) * random.nextDouble(0.9, 1.1),
            movableSlots = (30 + 80 * course) * random.nextDouble(0.85, 1.15),
            reclaimedDomain = reclaimed,
        )
    }

private fun simulate(
    policy: SupplyPolicy,
    course: List<DemandStep>,
): Totals {
    var ordered = emptyMap<SupplyPlace, Int>()
    val pipeline = ArrayDeque<Map<SupplyPlace, Int>>()
    var forecast = course.first()
    return course.fold(Totals()) { totals, step ->
        forecast = smooth(forecast, step)
        val next = policy(planInput(forecast, ordered))
        pipeline.addLast(next)
        if (pipeline.size > START_STEPS) pipeline.removeFirst()
        val running = next.mapValues { (place, count) -> pipeline.minOf { minOf(it[place] ?: 0, count) } }
        val left = running.filterKeys { !it.reclaimable || it.failureDomain != step.reclaimedDomain }
        if (step.reclaimedDomain != null) pipeline.replaceAll { before -> before.filterKeys { it in left.keys } }
        val changed = if (next == ordered) 0 else 1
        ordered = next
        totals.plus(step, left, next, changed)
    }
}

private fun smooth(
    before: DemandStep,
    step: DemandStep,
): DemandStep =
    DemandStep(
        before.fixedSlots + FORECAST_WEIGHT * (step.fixedSlots - before.fixedSlots),
        before.movableSlots + FORECAST_WEIGHT * (step.movableSlots - before.movableSlots),
        null,
    )

private fun planInput(
    forecast: DemandStep,
    ordered: Map<SupplyPlace, Int>,
): SupplyPlanInput {
    val startMilliseconds = START_STEPS * STEP_SECONDS * 1_000L
    val demand = SupplyDemand("pool", forecast.fixedSlots, forecast.movableSlots, SLOTS, 0, startMilliseconds)
    return SupplyPlanInput(listOf(demand), offers, ordered, BUDGET_CENTS)
}

private fun Totals.plus(
    step: DemandStep,
    running: Map<SupplyPlace, Int>,
    ordered: Map<SupplyPlace, Int>,
    changed: Int,
): Totals {
    val staying = running.filterKeys { !it.reclaimable }.values.sum() * SLOTS.toDouble()
    val reclaimable = running.filterKeys { it.reclaimable }.values.sum() * SLOTS.toDouble()
    val fixedServed = minOf(step.fixedSlots, staying)
    val movedCheap = minOf(step.movableSlots, reclaimable)
    val movedStaying = minOf(step.movableSlots - movedCheap, staying - fixedServed)
    val served = fixedServed + movedCheap + movedStaying
    val centsPerHour = ordered.entries.sumOf { (place, count) -> prices.getValue(place) * count }
    return Totals(
        cents = cents + centsPerHour * STEP_SECONDS / 3600.0,
        served = this.served + served,
        unserved = unserved + step.fixedSlots + step.movableSlots - served,
        onReclaimable = onReclaimable + movedCheap,
        interruptedFixed = interruptedFixed + step.fixedSlots - fixedServed,
        changes = changes + changed,
        highestCentsPerHour = maxOf(highestCentsPerHour, centsPerHour),
    )
}

private fun report(
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

/** Prints both policies side by side. */
public fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toLong() ?: 1
    val course = demandCourse(Random(seed))
    println("seed $seed, $STEPS steps of $STEP_SECONDS s, budget $BUDGET_CENTS cents an hour")
    println("policy                 cents/slot-h  on cheaper   unserved  fixed work  changes  highest c/h")
    report("fixed, for the peak", simulate(fixedSupply(serversPerPool = 21), course))
    report("fixed, for the mean", simulate(fixedSupply(serversPerPool = 13), course))
    report("planned", simulate(::planSupply, course))
}
