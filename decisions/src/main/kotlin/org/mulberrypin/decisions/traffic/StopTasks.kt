/** Stops tasks: all of a job that this instance runs no longer, or those whose results are already in the store. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition

/** Stops running a job and cancels its attempts and scoring calls. */
internal fun TrafficState.dropJob(
    id: String,
    reason: String,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    val running = job.tasks.values.filter { it.phase == TaskPhase.RUNNING }
    val inputs = "$reason; running=${running.size} listed=${job.storedResultCount} of ${job.tasks.size}"
    val explanation = TrafficEffect.RecordDecision(id, "job dropped", identity.name, inputs)
    val cancelled = cancelWork(id, job.tasks.values)
    return Transition(
        cancelled.state.copy(jobs = jobs.remove(id)),
        listOf(explanation) + cancelled.effects,
    )
}

/** Stops the tasks of a job that the store lists already, so that none is listed a second time. */
internal fun TrafficState.stopListedTasks(
    id: String,
    storedResults: Set<String>,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    val listed = job.tasks.values.filter { it.phase != TaskPhase.DONE && it.task.id in storedResults }
    if (listed.isEmpty()) return Transition(this)
    val cancelled = cancelWork(id, listed)
    var tasks = job.tasks
    listed.forEach { tasks = tasks.put(it.task.id, it.copy(phase = TaskPhase.DONE)) }
    val inputs = "tasks=${listed.joinToString(",") { it.task.id }}"
    val explanation = TrafficEffect.RecordDecision(id, "tasks already listed", identity.name, inputs)
    return Transition(
        cancelled.state.copy(jobs = cancelled.state.jobs.put(id, job.copy(tasks = tasks))),
        listOf(explanation) + cancelled.effects,
    )
}

/** Cancels the attempts and scoring calls of [tasks], without changing the job. */
private fun TrafficState.cancelWork(
    job: String,
    tasks: Collection<TaskProgress>,
): Transition<TrafficState, TrafficEffect> {
    val ids = tasks.mapTo(HashSet()) { it.task.id }
    val running = tasks.filter { it.phase == TaskPhase.RUNNING }
    val scorings = requests.values.filter { request ->
        (request.origin as? Origin.Scoring)?.let { it.job == job && it.task in ids } == true
    }
    val servers = running.map { it.server.orEmpty() } + scorings.mapNotNull { it.server }
    var released = backends
    servers.forEach { released = released.updated(it, Backend::released) }
    var openRequests = requests
    scorings.forEach { openRequests = openRequests.remove(it.request) }
    return Transition(
        copy(backends = released, requests = openRequests),
        running.map { TrafficEffect.CancelTask(job, it.task.id) } + scorings.map { TrafficEffect.Cancel(it.request) },
    )
}
