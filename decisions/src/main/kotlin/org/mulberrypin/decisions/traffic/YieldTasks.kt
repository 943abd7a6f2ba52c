/**
 * Frees slots of running tasks whose groups no longer count for waiting tasks whose groups do. The task keeps its text
 * and its place: it goes on as soon as a slot is left over.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.decisions.ordering.FlowTurn
import org.mulberrypin.decisions.ordering.GroupStanding

/** Lets running tasks of [ranked] yield to the first of the [unplaced] ones. */
internal fun TrafficState.yieldSlots(
    ranked: List<RankedJob>,
    unplaced: List<QueuedTask>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val needed = unplaced.filter { it.standing == GroupStanding.COUNTS }.take(MAX_YIELDS_PER_DISPATCH)
    if (needed.isEmpty()) return Transition(this)
    val yielding = ranked.flatMap(::yieldingTasks).toMutableList()
    return decideEach(needed) { state, task ->
        val found = yielding.firstNotNullOfOrNull { candidate ->
            state.afterYield(candidate, task, nowMilliseconds)?.let { candidate to it }
        }
        if (found == null) {
            Transition(state)
        } else {
            yielding.remove(found.first)
            found.second.andThen { it.dispatchQueued(task, FlowTurn(task.flow, isOverdue = false), nowMilliseconds) }
        }
    }
}

/** A running task whose group no longer counts. */
private data class YieldingTask(
    val job: String,
    val task: String,
    val rank: Int,
)

private fun yieldingTasks(ranked: RankedJob): List<YieldingTask> =
    ranked.job.tasks.values
        .filter { it.phase == TaskPhase.RUNNING && ranked.standings[it.task.group] == GroupStanding.YIELDS }
        .map { YieldingTask(ranked.job.record.id, it.task.id, ranked.rank) }

/** Ends the attempt of [candidate] if [needed] can use its slot and has at least the same rank; null otherwise. */
private fun TrafficState.afterYield(
    candidate: YieldingTask,
    needed: QueuedTask,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect>? {
    val job = jobs[candidate.job]
    val running = job?.tasks?.get(candidate.task)?.takeIf { it.phase == TaskPhase.RUNNING }
    if (job == null || running == null || needed.rank > candidate.rank) return null
    val server = running.server.orEmpty()
    val freed = copy(backends = backends.updated(server, Backend::released))
        .withTask(job, running.copy(phase = TaskPhase.WAITING, notBeforeMilliseconds = nowMilliseconds))
    if (!freed.canRun(needed, server, nowMilliseconds)) return null
    val inputs = "to=${needed.task} job=${needed.job} rank=${needed.rank} lastEvent=${running.lastEvent} " +
        "attempt=${running.attempt}"
    return Transition(
        freed,
        listOf(
            TrafficEffect.RecordDecision(candidate.task, "yielded", server, inputs),
            TrafficEffect.CancelTask(candidate.job, candidate.task),
            TrafficEffect.CountLoadDecision(LoadDecision.YIELDED),
        ),
    )
}

private fun TrafficState.canRun(
    needed: QueuedTask,
    server: String,
    nowMilliseconds: Long,
): Boolean {
    val job = jobs[needed.job]
    val task = job?.tasks?.get(needed.task) ?: return false
    val route = routing?.findRoute(job.record.host, task.task.path) ?: return false
    val available = availableEngines(job, route, task, nowMilliseconds)
    return enginesFor(task, available, nowMilliseconds).any { it.entry.id == server }
}

/** Slots that are freed in one dispatch; each changes what the next one is decided on. */
private const val MAX_YIELDS_PER_DISPATCH = 8
