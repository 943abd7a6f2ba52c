package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.weights.EnginePool
import org.mulberrypin.decisions.weights.dueLoads
import org.mulberrypin.decisions.weights.maxConcurrentLoads

/**
 * Determines the engines that the lease holder has ordered, or is about to order, to load a named version. An engine
 * refuses new tasks while it loads, so a task that may not wait goes elsewhere first.
 */
internal fun TrafficState.withExpectedLoads(): TrafficState {
    val modelsByPool = routing?.modelsByPool.orEmpty()
    val entries = backends.values.map { it.entry }.filter { it.failureDomain !in evacuatedDomains }
    val pools = modelsByPool
        .filterValues { it.isNotEmpty() }
        .map { (pool, models) -> EnginePool(models, entries.filter { it.pool == pool }, divisions[pool].orEmpty()) }
    val loading = pools
        .flatMap { dueLoads(it, namedVersions) }
        .take(maxConcurrentLoads(pools.sumOf { it.engines.size }))
        .mapTo(HashSet()) { it.engine.id }
    return copy(loadingServers = loading)
}
