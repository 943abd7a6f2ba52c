/**
 * Follows the engines of a pool in the lists. An engine that leaves as planned, which the platform announces and which
 * is not reclaimable, is no longer expected; one that vanishes or is reclaimed still is.
 */
package org.mulberrypin.decisions.capacity

import org.mulberrypin.decisions.supply.ServerGroup
import org.mulberrypin.schema.generated.BackendServerEntry

internal fun groupOf(engine: BackendServerEntry): ServerGroup =
    ServerGroup(engine.pool, engine.failureDomain, engine.reclaimable)

/** Engines of the pool that are not leaving, by group. */
internal fun PoolCapacity.serving(): Map<ServerGroup, Int> =
    engines.values
        .filter { !it.leaving }
        .groupingBy(::groupOf)
        .eachCount()

/**
 * Applies a list.
 *
 * @param orders recent orders: the arrival of their engines raises nothing, and engines that leave a group for which
 *   more were ordered do so because an older order was carried out late
 */
internal fun PoolCapacity.followed(
    listed: OrderablePool,
    orders: Map<ServerGroup, EngineOrder>,
    nowMilliseconds: Long,
): PoolCapacity {
    val current = listed.engines.associateBy { it.id }
    val raised = orders.filterValues { it.added > 0 }.keys
    val planned = engines.values
        .filter { before -> !before.leaving && current[before.id]?.let { it.leaving && !it.reclaimable } ?: false }
        .filter { groupOf(it) !in raised }
        .groupingBy(::groupOf)
        .eachCount()
    val updated = copy(models = listed.models, limits = listed.limits, engines = current)
    val serving = updated.serving().values.sum()
    val remaining = (expected - planned.values.sum()).coerceAtLeast(0)
    return updated.copy(
        expected = if (raised.isEmpty()) maxOf(remaining, serving) else remaining,
        highest = updated.highestAfter(planned, nowMilliseconds),
    )
}

private fun PoolCapacity.highestAfter(
    planned: Map<ServerGroup, Int>,
    nowMilliseconds: Long,
): Map<ServerGroup, HighestCount> {
    val counts = engines.values
        .filter { !it.leaving || it.reclaimable }
        .groupingBy(::groupOf)
        .eachCount()
    val remembered = highest
        .filterValues { nowMilliseconds - it.seenMilliseconds < HIGHEST_MEMORY_MILLISECONDS }
        .mapValues { (group, count) -> count.copy(engines = count.engines - (planned[group] ?: 0)) }
    return (remembered.keys + counts.keys).associateWith { group ->
        val count = counts[group] ?: 0
        remembered[group]?.takeIf { it.engines > count } ?: HighestCount(count, nowMilliseconds)
    }
}

/** Time for which a larger number of engines is remembered, in milliseconds. */
private const val HIGHEST_MEMORY_MILLISECONDS = 30_000L
