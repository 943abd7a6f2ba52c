package org.mulberrypin.decisions.weights

import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * Divides the engines of a pool among its models, so that each new version is loaded by few engines. An engine that has
 * newer weights of a model than of the others keeps that model.
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
    val room = HashMap<String, Int>()
    models.sorted().forEachIndexed { index, model ->
        room[model] = (sorted.size + models.size - 1 - index) / models.size
    }
    for (engine in sorted.sortedByDescending { leadOf(it, models) }) {
        val kept = newestModel(engine, models) ?: continue
        val left = room.getValue(kept)
        if (left > 0) {
            assigned[engine.id] = kept
            room[kept] = left - 1
        }
    }
    for (engine in sorted.filter { it.id !in assigned }) {
        val model = models.sorted().maxBy { room.getValue(it) }
        assigned[engine.id] = model
        room[model] = room.getValue(model) - 1
    }
    return assigned
}

/** The one model of which the engine has newer weights than of any other. */
private fun newestModel(
    engine: BackendServerEntry,
    models: List<String>,
): String? {
    val served = engine.models.filter { it.name in models }
    val newest = served.maxOfOrNull { it.version } ?: return null
    return served.singleOrNull { it.version == newest }?.name
}

private fun leadOf(
    engine: BackendServerEntry,
    models: List<String>,
): Long {
    val versions = engine.models.filter { it.name in models }.map { it.version }
    return (versions.maxOrNull() ?: 0) - (versions.minOrNull() ?: 0)
}
