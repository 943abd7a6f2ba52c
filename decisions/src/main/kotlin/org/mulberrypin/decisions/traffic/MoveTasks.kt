/**
 * Moves running tasks from slow engines to faster ones with free slots. The other engine reads the prompt and the text
 * so far in some tens of milliseconds and resumes after the last event, so a long task gains seconds.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach

/** Moves the tasks that gain most. Waiting tasks have the first claim on slots and are dispatched before. */
internal fun TrafficState.moveTasks(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val paces = backends.values
        .mapNotNull { engine -> engine.knownPace(nowMilliseconds)?.let { engine.entry.id to it } }
        .toMap()
    val slowPace = (paces.values.minOrNull() ?: return Transition(this)) * MIN_PACE_RATIO
    val slowServers = paces.filterValues { it > slowPace }.keys
    val movable = jobs.values.flatMap { job ->
        job.tasks.values
            .filter { it.server in slowServers && isMovable(it, nowMilliseconds) }
            .map { task -> job.record.id to task }
    }
    val slowestFirst = movable.sortedByDescending { (_, task) -> paces[task.server] }
    return decideEach(slowestFirst.take(MAX_MOVES_PER_TICK)) { state, (jobId, task) ->
        state.moveTask(jobId, task, nowMilliseconds)
    }
}

private fun isMovable(
    task: TaskProgress,
    nowMilliseconds: Long,
): Boolean =
    task.phase == TaskPhase.RUNNING &&
        task.lastEvent - task.attemptStartEvent >= MIN_EVENTS_BEFORE_MOVE &&
        nowMilliseconds - task.sentMilliseconds >= MIN_MILLISECONDS_BETWEEN_MOVES

private fun TrafficState.moveTask(
    jobId: String,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[jobId] ?: return Transition(this)
    val move = findMove(job, task, nowMilliseconds) ?: return Transition(this)
    val inputs = "lastEvent=${task.lastEvent} pace=${move.sourcePace.toInt()} to=${move.target.entry.id} " +
        "itsPace=${move.targetPace.toInt()}"
    val waiting = task.copy(phase = TaskPhase.WAITING)
    val released = copy(backends = backends.updated(task.server.orEmpty(), Backend::released)).withTask(job, waiting)
    val cancelled = Transition(
        released,
        listOf(
            TrafficEffect.RecordDecision(task.task.id, "moved", task.server.orEmpty(), inputs),
            TrafficEffect.CancelTask(jobId, task.task.id),
        ),
    )
    return cancelled.andThen { state ->
        state.jobs[jobId]?.let { state.sendTask(it, waiting, move.target, nowMilliseconds) } ?: Transition(state)
    }
}

/** A worthwhile move of a task; paces are times between two events in milliseconds. */
private data class TaskMove(
    val target: Backend,
    val sourcePace: Double,
    val targetPace: Double,
)

/** The fastest engine that could go on with [task], if the task is expected to gain enough there. */
private fun TrafficState.findMove(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): TaskMove? {
    val route = routing?.findRoute(job.record.host, task.task.path) ?: return null
    val sourcePace = backends[task.server.orEmpty()]?.knownPace(nowMilliseconds) ?: return null
    return availableEngines(job, route, task, nowMilliseconds)
        .filter { it.entry.id != task.server && it.refusals == 0 }
        .mapNotNull { engine -> engine.knownPace(nowMilliseconds)?.let { TaskMove(engine, sourcePace, it) } }
        .minByOrNull { it.targetPace }
        ?.takeIf { sourcePace > it.targetPace * MIN_PACE_RATIO }
        ?.takeIf { expectedRemainingEvents(task) * (sourcePace - it.targetPace) > MIN_GAIN_MILLISECONDS }
}

/** Lengths spread over more than a decade, so a text is expected to go on for about as long as it has become. */
private fun expectedRemainingEvents(task: TaskProgress): Long = maxOf(task.lastEvent, MIN_EXPECTED_EVENTS)

/** Ratio of the paces of two engines from which a move is considered; smaller ones are within what a batch does. */
private const val MIN_PACE_RATIO = 1.2

/** Smallest expected gain of a move, in milliseconds: ten times the time to read the prompt and the text again. */
private const val MIN_GAIN_MILLISECONDS = 400.0

/** Events that an attempt must have generated before its task is moved. */
private const val MIN_EVENTS_BEFORE_MOVE = 4L

/** Minimum time at one engine, in milliseconds, so that a task does not go to and fro. */
private const val MIN_MILLISECONDS_BETWEEN_MOVES = 600L

/** Expected remaining events of a text that has only begun. */
private const val MIN_EXPECTED_EVENTS = 10L

/** Moves in one tick; each changes what the next one is decided on. */
private const val MAX_MOVES_PER_TICK = 8
