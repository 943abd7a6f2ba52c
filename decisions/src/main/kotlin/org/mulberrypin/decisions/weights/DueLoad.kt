/** Determines which engines load a named weight version next; every instance comes to the same result. */
package org.mulberrypin.decisions.weights

import org.mulberrypin.schema.generated.BackendServerEntry

/** A load of [version] of [model] that an engine is due for. */
public data class DueLoad(
    val engine: BackendServerEntry,
    val model: String,
    val version: Long,
)

/** The loads that the engines of [pool] are due for, in the order in which they are ordered. */
public fun dueLoads(
    pool: EnginePool,
    targetVersions: Map<String, Long>,
): List<DueLoad> {
    val available = pool.engines.filter { !it.leaving }.sortedBy { it.id }
    val models = assignModels(available, pool, targetVersions)
    return available.mapNotNull { engine ->
        val model = models[engine.id]
        val version = model?.let(targetVersions::get)
        if (model == null || version == null || versionOf(engine, model) >= version) {
            null
        } else {
            DueLoad(engine, model, version)
        }
    }
}

internal fun versionOf(
    engine: BackendServerEntry,
    model: String,
): Long = engine.models.firstOrNull { it.name == model }?.version ?: 0

/**
 * Maximum number of [engines] that load weights concurrently. The others go on taking new tasks, and few loads at a
 * time do not slow each other down at the weight store; with a fixed number, many engines would never catch up with
 * versions that are named every few seconds.
 */
public fun maxConcurrentLoads(engines: Int): Int = maxOf(MIN_CONCURRENT_LOADS, engines * LOADING_TENTHS / TENTHS)

private const val MIN_CONCURRENT_LOADS = 2

/** Share of the engines that load weights concurrently, in tenths. */
private const val LOADING_TENTHS = 3
private const val TENTHS = 10
