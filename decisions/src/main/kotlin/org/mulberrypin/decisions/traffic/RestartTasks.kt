/** Decides when the text of a task is begun anew, since its route wants all events from one version of the weights. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.ServingRoute

/** Whether the engine that runs a task has changed its weights within the text. */
internal fun TrafficState.isMixed(
    job: RunningJob,
    task: TaskProgress,
): Boolean {
    val route = routing?.findRoute(job.record.host, task.task.path)
    return route?.singleWeightVersion == true && task.versions.size > 1
}

/** Whether no engine of the route has the version any more that the text of a task needs. */
internal fun TrafficState.isStranded(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
): Boolean {
    if (!route.singleWeightVersion || task.versions.isEmpty()) return false
    val pools = route.pools.mapTo(HashSet()) { it.pool }
    return backends.values.none {
        it.entry.pool in pools && !it.entry.leaving && it.versionOf(job.submission.model) in task.versions
    }
}

/** Begins the text of a task anew. */
internal fun TrafficState.restartTask(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val isRunning = task.phase == TaskPhase.RUNNING
    val inputs = "weights=${task.versions.sorted()} lastEvent=${task.lastEvent} attempt=${task.attempt}"
    val freed = if (isRunning) copy(backends = backends.changed(task.server.orEmpty(), Backend::released)) else this
    val fresh = task.copy(
        phase = TaskPhase.WAITING,
        notBeforeMilliseconds = nowMilliseconds,
        lastEvent = 0,
        savedEvent = 0,
        text = persistentListOf(),
        versions = emptySet(),
        restarts = task.restarts + 1,
    )
    return Transition(
        freed.withTask(job, fresh),
        listOfNotNull(
            TrafficEffect.Explain(task.task.id, "text begun anew", task.server.orEmpty(), inputs),
            if (isRunning) TrafficEffect.CancelTask(job.record.id, task.task.id) else null,
        ),
    )
}
