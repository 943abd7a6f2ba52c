/**
 * Moves running tasks from slow engines to faster ones with free slots. The other engine reads the prompt and the text
 * so far and resumes after the last event. A move is worth the time that it is expected to save; what it did save is
 * measured when the text ends or moves on.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.decisions.work.Choice
import org.mulberrypin.decisions.work.describe
import org.mulberrypin.decisions.work.total

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
            .map { task -> job to task }
    }
    val longestFirst = movable.sortedByDescending { (job, task) ->
        expectedRemainingEvents(job, task) * paces.getValue(task.server.orEmpty())
    }
    return decideEach(longestFirst.take(MAX_MOVES_PER_TICK)) { state, (job, task) ->
        state.moveTask(job.record.id, task, nowMilliseconds)
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
    val inputs = "lastEvent=${task.lastEvent} gain=${move.expectation.gainMilliseconds.toLong()} " +
        "pace=${move.expectation.sourceMilliseconds.toInt()} to=${move.target.candidate.entry.id} " +
        move.target.expected.describe()
    val waiting = task.copy(phase = TaskPhase.WAITING, move = move.expectation)
    val released = copy(backends = backends.updated(task.server.orEmpty(), Backend::released)).withTask(job, waiting)
    val cancelled = Transition(
        released,
        measureMove(task, nowMilliseconds) + listOf(
            TrafficEffect.RecordDecision(task.task.id, "moved", task.server.orEmpty(), inputs),
            TrafficEffect.CancelTask(jobId, task.task.id),
        ),
    )
    return cancelled.andThen { state ->
        state.jobs[jobId]?.let { state.sendTask(it, waiting, move.target, nowMilliseconds) } ?: Transition(state)
    }
}

/** A worthwhile move of a task and what it is expected to gain. */
private data class TaskMove(
    val target: Choice<Backend>,
    val expectation: MoveExpectation,
)

/** The move of [task] that is expected to gain most; null if none gains enough. */
private fun TrafficState.findMove(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): TaskMove? {
    val route = routing?.findRoute(job.record.host, task.task.path) ?: return null
    val source = backends[task.server.orEmpty()] ?: return null
    val events = expectedRemainingEvents(job, task).toDouble()
    val targets = availableEngines(job, route, task, nowMilliseconds)
        .filter { it.entry.id != task.server && it.entry.id !in loadingServers && it.refusals == 0 }
        .filter { it.knownPace(nowMilliseconds) != null }
    val pool = poolPace(targets, nowMilliseconds)
    val sourcePace = source.expectedPace(events, pool, nowMilliseconds)
    return targets
        .map { Choice(it, expectedText(it, events, unreadTokens(task, hasReadShared = false), pool, nowMilliseconds)) }
        .minByOrNull { it.expected.total }
        ?.let { target ->
            val gain = events * sourcePace - target.expected.total
            TaskMove(target, MoveExpectation(gain, sourcePace, task.lastEvent, nowMilliseconds))
        }?.takeIf { it.expectation.gainMilliseconds > MIN_GAIN_MILLISECONDS }
}

/** Ratio of the paces of two engines from which a move is considered; smaller ones are within what a batch does. */
private const val MIN_PACE_RATIO = 1.2

/** Smallest expected gain of a move, in milliseconds, so that one of a wrong estimate costs little. */
private const val MIN_GAIN_MILLISECONDS = 200.0

/** Events that an attempt must have generated before its task is moved. */
private const val MIN_EVENTS_BEFORE_MOVE = 4L

/** Minimum time at one engine, in milliseconds, so that a task does not go to and fro. */
private const val MIN_MILLISECONDS_BETWEEN_MOVES = 600L

/** Moves in one tick; each changes what the next one is decided on. */
private const val MAX_MOVES_PER_TICK = 8
