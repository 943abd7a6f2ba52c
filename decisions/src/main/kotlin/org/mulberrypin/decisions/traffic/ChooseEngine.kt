/** Decides which engine runs a task. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.ServingRoute

/**
 * Selects an engine with suitable weights and a free slot: one that is neither occupied nor slow, with a preference for
 * engines that have read the group's prompt.
 */
internal fun TrafficState.chooseEngine(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
    nowMilliseconds: Long,
): Backend? {
    val available = enginesFor(task, availableEngines(job, route, task, nowMilliseconds), nowMilliseconds)
    if (available.isEmpty()) return null
    val groupServers = job.tasks.values
        .filter { it.task.group == task.task.group && it.task.id != task.task.id }
        .mapNotNullTo(HashSet()) { it.server }
    val bestPace = available.mapNotNull { it.knownPace(nowMilliseconds) }.minOrNull()
    val seed = stableHash(0, task.task.group)
    return available.minWithOrNull(
        compareBy<Backend> { engine ->
            val affinity = if (engine.entry.id in groupServers) GROUP_AFFINITY else 0
            val loading = if (engine.entry.id in loadingServers) LOADING_PENALTY else 0
            engine.occupancy(nowMilliseconds) + engine.slowness(bestPace, nowMilliseconds) + loading - affinity
        }.thenBy { it.entry.failureDomain != identity.failureDomain }
            .thenBy { stableHash(seed, it.entry.id) },
    )
}

/** Engines that could run a task now. */
internal fun TrafficState.availableEngines(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
    nowMilliseconds: Long,
): List<Backend> {
    val pools = route.pools.mapTo(HashSet()) { it.pool }
    val model = job.submission.model
    return backends.values.filter { backend ->
        backend.entry.pool in pools && isUsable(backend, nowMilliseconds) &&
            backend.versionOf(model) >= job.submission.minimumVersion &&
            matchesVersion(route, task, backend.versionOf(model)) &&
            backend.inFlight < backend.entry.slots && !backend.isIsolated &&
            backend.avoidedUntilMilliseconds <= nowMilliseconds
    }
}

private fun matchesVersion(
    route: ServingRoute,
    task: TaskProgress,
    version: Long,
): Boolean = !route.singleWeightVersion || task.versions.all { it == version }

/** Occupancy, in eighths of the slots, that an engine which has read the group's prompt may have beyond another one. */
private const val GROUP_AFFINITY = 3

/** Penalty of an engine that is expected to load weights: all other engines are filled first. */
private const val LOADING_PENALTY = 32
