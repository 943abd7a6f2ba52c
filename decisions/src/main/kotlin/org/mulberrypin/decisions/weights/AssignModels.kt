/** Assigns one model to each engine of a pool, so that only a few engines load each new version. */
package org.mulberrypin.decisions.weights

import org.mulberrypin.decisions.division.engineCounts
import org.mulberrypin.decisions.division.engineQuotas
import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * Assigns a model to each of [engines]. Their number for each model follows the shares of [pool]; without shares all
 * models get the same. An engine keeps a model that it has been loading, unless the other engines that do so already
 * fill the model's number.
 *
 * @param engines the pool's engines that may load weights
 * @param targetVersions weight version that the engines should load, by model
 * @return the model of each engine, by the engine's identifier
 */
public fun assignModels(
    engines: List<BackendServerEntry>,
    pool: EnginePool,
    targetVersions: Map<String, Long> = emptyMap(),
): Map<String, String> {
    val models = pool.models.distinct().sorted()
    if (models.isEmpty() || engines.isEmpty()) return emptyMap()
    val holdings = holdingsOf(engines, models, targetVersions)
    val held = holdings.mapNotNull { it.models.singleOrNull() }.groupingBy { it }.eachCount()
    val remaining = HashMap(engineCounts(engineQuotas(engines.size, models, pool.shares), held))
    val assigned = LinkedHashMap<String, String>()

    fun assign(
        engine: String,
        model: String,
    ) {
        assigned[engine] = model
        remaining[model] = remaining.getValue(model) - 1
    }
    // Engines that hold one model come first, as those that hold several can still serve any of them.
    holdings.filter { it.models.isNotEmpty() }.forEach { holding ->
        val model = holding.models.maxBy { remaining.getValue(it) }
        if (remaining.getValue(model) > 0) assign(holding.engine, model)
    }
    holdings.filter { it.engine !in assigned }.forEach { holding ->
        assign(holding.engine, models.maxBy { remaining.getValue(it) })
    }
    return assigned
}

/**
 * The models that an engine has been loading, as far as its weights show.
 *
 * @property lag versions between those weights and the newest ones
 */
private data class Holding(
    val engine: String,
    val models: List<String>,
    val lag: Long,
)

/** The holdings of all engines: those of one model first, the newest weights first among these. */
private fun holdingsOf(
    engines: List<BackendServerEntry>,
    models: List<String>,
    targetVersions: Map<String, Long>,
): List<Holding> {
    val newest = models.associateWith { model ->
        maxOf(engines.maxOf { versionOf(it, model) }, targetVersions[model] ?: 0)
    }
    val oldest = models.associateWith { model -> engines.minOf { versionOf(it, model) } }
    return engines
        .map { engine ->
            val loaded = models.filter { versionOf(engine, it) > oldest.getValue(it) }
            val lags = loaded.associateWith { newest.getValue(it) - versionOf(engine, it) }
            val least = lags.values.minOrNull() ?: 0
            // A version that was just named is not loaded yet, so that a lag of one does not tell models apart.
            Holding(engine.id, lags.filterValues { it <= maxOf(least, CURRENT_LAG) }.keys.toList(), least)
        }.sortedWith(compareBy({ it.models.size }, { it.lag }, { it.engine }))
}

/** Versions by which weights may be behind the newest ones and still count as current. */
private const val CURRENT_LAG = 1L
