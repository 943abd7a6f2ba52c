package org.mulberrypin.decisions.weights

import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * Assigns one model to each engine of a pool, dividing the engines evenly among the models so that only a few engines
 * load each new version. An engine whose weights of one model are newer than those of its other models keeps that
 * model, unless engines with at least the same lead already fill the model's share.
 *
 * @param models models of the pool
 * @return the model of each engine, by the engine's identifier
 */
public fun assignModels(
    engines: List<BackendServerEntry>,
    models: List<String>,
): Map<String, String> {
    if (models.isEmpty() || engines.isEmpty()) return emptyMap()
    val sorted = engines.sortedBy { it.id }
    val assigned = LinkedHashMap<String, String>()
    val remainingEngines = HashMap<String, Int>()
    models.sorted().forEachIndexed { index, model ->
        remainingEngines[model] = (sorted.size + models.size - 1 - index) / models.size
    }
    for (engine in sorted.sortedByDescending { versionLead(it, models) }) {
        val keptModel = modelWithNewestVersion(engine, models) ?: continue
        val remaining = remainingEngines.getValue(keptModel)
        if (remaining > 0) {
            assigned[engine.id] = keptModel
            remainingEngines[keptModel] = remaining - 1
        }
    }
    for (engine in sorted.filter { it.id !in assigned }) {
        val model = models.sorted().maxBy { remainingEngines.getValue(it) }
        assigned[engine.id] = model
        remainingEngines[model] = remainingEngines.getValue(model) - 1
    }
    return assigned
}

/** The model with the highest weight version on the engine; null if several models or none have it. */
private fun modelWithNewestVersion(
    engine: BackendServerEntry,
    models: List<String>,
): String? {
    val served = engine.models.filter { it.name in models }
    val newest = served.maxOfOrNull { it.version } ?: return null
    return served.singleOrNull { it.version == newest }?.name
}

/** Difference between the highest and the lowest weight version on the engine. */
private fun versionLead(
    engine: BackendServerEntry,
    models: List<String>,
): Long {
    val versions = engine.models.filter { it.name in models }.map { it.version }
    return (versions.maxOrNull() ?: 0) - (versions.minOrNull() ?: 0)
}
