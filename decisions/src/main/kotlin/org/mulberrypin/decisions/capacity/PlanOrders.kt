/**
 * Plans how many engines a pool needs and in which groups missing ones are ordered. Groups are tried cheapest first, as
 * long as no failure domain has more than half of the pool, and the reclaimable engines, which a failure domain loses
 * all at once, are at most a third of it.
 */
package org.mulberrypin.decisions.capacity

import org.mulberrypin.decisions.division.SmoothedDemand
import org.mulberrypin.decisions.supply.ServerGroup
import kotlin.math.ceil

/**
 * Engines that keep up with the demand while one failure domain loses its reclaimable engines. Null if the demand or
 * the pace of the engines is not known.
 */
internal fun PoolCapacity.neededEngines(demand: Map<String, SmoothedDemand>): Int? {
    val known = models.mapNotNull { demand[it] }.filter { it.work > 0 }
    val slots = engines.values.map { it.slots }.filter { it > 0 }
    if (known.isEmpty() || slots.isEmpty() || known.any { it.taskTokensPerSecond <= 0 }) return null
    val slotsNeeded = known.sumOf { it.work / it.taskTokensPerSecond } / MAX_UTILIZATION
    val slotsInUse = known.sumOf { it.runningTasks }
    val reclaimable = serving().filterKeys { it.reclaimable }.values.maxOrNull() ?: 0
    val engines = ceil(maxOf(slotsNeeded, slotsInUse) / slots.average()).toInt() + reclaimable
    val domains = offers().map { it.group.failureDomain }.distinct().size
    val lower = maxOf(models.size, limits.minimum * domains)
    return engines.coerceIn(lower, maxOf(lower, limits.maximum * domains))
}

/** Largest number of engines that [group] had of late. */
internal fun PoolCapacity.highestOf(group: ServerGroup): Int = highest[group]?.engines ?: 0

/** Engines of [group] that the bound of its failure domain, which holds for both kinds together, leaves room for. */
internal fun PoolCapacity.roomFor(group: ServerGroup): Int {
    val others = engines.values.count { groupOf(it) == group.copy(reclaimable = !group.reclaimable) }
    return limits.maximum - others
}

/** Ordinary engines that groups have lost of late, at most [engines], by group. */
internal fun PoolCapacity.lostOrdinary(
    present: Map<ServerGroup, Int>,
    engines: Int,
): Map<ServerGroup, Int> {
    var remaining = engines
    return highest
        .filterKeys { !it.reclaimable }
        .mapValues { (group, count) ->
            (count.engines - (present[group] ?: 0)).coerceIn(0, remaining).also { remaining -= it }
        }.filterValues { it > 0 }
}

/**
 * Distributes [engines] more engines over the groups; [present] are those that serve or are on their way.
 *
 * @param isOpen whether engines of a group are thought to be available
 * @return engines to add, by group
 */
internal fun PoolCapacity.placements(
    engines: Int,
    present: Map<ServerGroup, Int>,
    isOpen: (ServerGroup) -> Boolean,
): Map<ServerGroup, Int> {
    val counts = HashMap(present)
    val total = present.values.sum() + engines
    val added = LinkedHashMap<ServerGroup, Int>()
    val open = offers().filter { isOpen(it.group) }
    repeat(engines) {
        val fitting = open.filter { fits(it.group, counts) }
        val chosen = fitting.firstOrNull { isSpread(it.group, counts, total) }
            ?: fitting.filter { !it.group.reclaimable }.minByOrNull { domainCount(it.group.failureDomain, counts) }
            ?: return added
        counts.merge(chosen.group, 1, Int::plus)
        added.merge(chosen.group, 1, Int::plus)
    }
    return added
}

private fun PoolCapacity.fits(
    group: ServerGroup,
    counts: Map<ServerGroup, Int>,
): Boolean = domainCount(group.failureDomain, counts) < limits.maximum

private fun isSpread(
    group: ServerGroup,
    counts: Map<ServerGroup, Int>,
    total: Int,
): Boolean {
    val inDomain = domainCount(group.failureDomain, counts) + 1
    val reclaimable = counts.filterKeys { it.reclaimable }.values.sum() + 1
    return inDomain * MAX_DOMAIN_DIVISOR <= total + 1 &&
        (!group.reclaimable || reclaimable * MAX_RECLAIMABLE_DIVISOR <= total)
}

private fun domainCount(
    failureDomain: String,
    counts: Map<ServerGroup, Int>,
): Int = counts.filterKeys { it.failureDomain == failureDomain }.values.sum()

/** Share of the slots that the demand may use in the mean, so that the tasks of a step start at once. */
private const val MAX_UTILIZATION = 0.6

/** At most half of a pool's engines are ordered in one failure domain. */
private const val MAX_DOMAIN_DIVISOR = 2

/** At most a third of a pool's engines are reclaimable ones that were ordered. */
private const val MAX_RECLAIMABLE_DIVISOR = 3
