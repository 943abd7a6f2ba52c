package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.weights.EnginePool
import org.mulberrypin.decisions.weights.MAX_CONCURRENT_LOADS
import org.mulberrypin.decisions.weights.dueLoads

/**
 * Determines the engines that the lease holder has ordered, or is about to order, to load a named version. An engine
 * refuses new tasks while it loads, so a task that may not wait goes elsewhere first.
 */
internal fun TrafficState.withExpectedLoads(): TrafficState {
    val modelsByPool = routing?.modelsByPool.orEmpty()
    val engines = backends.values.map { it.entry }
    val loading = modelsByPool
        .filterValues { it.isNotEmpty() }
        .flatMap { (pool, models) -> dueLoads(EnginePool(models, engines.filter { it.pool == pool }), namedVersions) }
        .take(MAX_CONCURRENT_LOADS)
        .mapTo(HashSet()) { it.engine.id }
    return copy(loadingServers = loading)
}
