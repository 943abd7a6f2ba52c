/** Restarts tasks whose output cannot be completed with the single weight version that their route requires. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.ServingRoute

/** Whether the output of a task contains several weight versions although its route requires a single one. */
internal fun TrafficState.hasMixedVersions(
    job: RunningJob,
    task: TaskProgress,
): Boolean {
    val route = routing?.findRoute(job.record.host, task.task.path)
    return route?.singleWeightVersion == true && task.versions.size > 1
}

/** Whether no engine of the route still has the weight version needed to continue the output of a task. */
internal fun TrafficState.lacksEngineWithVersion(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
): Boolean {
    if (!route.singleWeightVersion || task.versions.isEmpty()) return false
    val pools = route.pools.mapTo(HashSet()) { it.pool }
    return backends.values.none {
        it.entry.pool in pools && isAdmitted(it) && it.versionOf(job.submission.model) in task.versions
    }
}

/** Discards the output of a task, cancels its current attempt and returns the task to the waiting phase. */
internal fun TrafficState.restartTask(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val isRunning = task.phase == TaskPhase.RUNNING
    val inputs = "weights=${task.versions.sorted()} lastEvent=${task.lastEvent} attempt=${task.attempt}"
    val released =
        if (isRunning) copy(backends = backends.updated(task.server.orEmpty(), Backend::released)) else this
    val restarted = task.copy(
        phase = TaskPhase.WAITING,
        notBeforeMilliseconds = nowMilliseconds,
        lastEvent = 0,
        lastSavedEvent = 0,
        text = persistentListOf(),
        versions = emptySet(),
        restarts = task.restarts + 1,
    )
    return Transition(
        released.withTask(job, restarted),
        listOfNotNull(
            TrafficEffect.RecordDecision(task.task.id, "text begun anew", task.server.orEmpty(), inputs),
            if (isRunning) TrafficEffect.CancelTask(job.record.id, task.task.id) else null,
        ),
    )
}
