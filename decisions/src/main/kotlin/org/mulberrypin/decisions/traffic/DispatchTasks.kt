/**
 * Decides which of the waiting tasks get an engine first. While there is a free slot for each of them, they start as
 * they were submitted, those of the oldest job first. Otherwise they start in the order of work of
 * `decisions/ordering`.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.decisions.ordering.FlowTurn
import org.mulberrypin.decisions.ordering.nextFlow
import org.mulberrypin.decisions.ordering.withServed
import org.mulberrypin.decisions.ordering.withWaiting
import org.mulberrypin.schema.generated.JobSubmission

/**
 * Order in which tasks start while there is room for all. The first half of the wanted groups keeps the order of the
 * submission, since the trainer may need these groups in any case. The other groups start shortest first, since the
 * trainer ends the job once enough groups are complete. Within a group, the longest task starts first.
 */
internal fun taskOrder(
    submission: JobSubmission,
    lengthHints: Map<String, Long>,
): List<String> {
    val groups = submission.tasks
        .groupBy { it.group }
        .values
        .toList()
    val unsortedGroupCount = submission.wantedGroups / 2
    val (first, others) = groups.withIndex().partition { it.index < unsortedGroupCount }
    val sorted = others.sortedBy { group -> group.value.maxOf { lengthHints[it.id] ?: 0 } }
    return (first + sorted)
        .flatMap { group ->
            group.value.sortedByDescending { lengthHints[it.id] ?: 0 }
        }.map { it.id }
}

/**
 * Dispatches tasks that are waiting for an engine or for their scoring call.
 *
 * @param expectedEvents expected remaining events of a task's text
 */
internal fun TrafficState.dispatchTasks(
    nowMilliseconds: Long,
    expectedEvents: (RunningJob, TaskProgress) -> Long = ::expectedRemainingEvents,
): Transition<TrafficState, TrafficEffect> {
    val oldestFirst = runnableJobs().sortedBy { it.record.submittedWallMilliseconds }
    return if (hasRoomForAll(nowMilliseconds)) {
        withWorkShares { it.withWaiting(emptySet(), openFlows(), nowMilliseconds) }
            .dispatchAsSubmitted(oldestFirst, nowMilliseconds)
    } else {
        dispatchScorings(oldestFirst, nowMilliseconds).andThen { it.dispatchInOrder(nowMilliseconds, expectedEvents) }
    }
}

private fun TrafficState.dispatchAsSubmitted(
    oldestFirst: List<RunningJob>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideEach(oldestFirst) { state, job ->
        state.decideEach(job.order) { next, id -> next.dispatchIfDue(job.record.id, id, nowMilliseconds) }
    }

/** Scoring calls need no slot of an engine, so they do not wait for tasks that do. */
private fun TrafficState.dispatchScorings(
    oldestFirst: List<RunningJob>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideEach(oldestFirst) { state, job ->
        val scoring = job.order.filter { job.tasks[it]?.phase == TaskPhase.SCORING }
        state.decideEach(scoring) { next, id -> next.dispatchIfDue(job.record.id, id, nowMilliseconds) }
    }

/** Whether the engines of each job have a free slot for every task that waits, of whatever job. */
private fun TrafficState.hasRoomForAll(nowMilliseconds: Long): Boolean {
    val waiting = runnableJobs().map { job ->
        job to job.tasks.values.filter { it.phase == TaskPhase.WAITING && it.notBeforeMilliseconds <= nowMilliseconds }
    }
    val count = waiting.sumOf { (_, tasks) -> tasks.size }
    return waiting.all { (job, tasks) -> tasks.isEmpty() || freeSlots(job, tasks.first(), nowMilliseconds) >= count }
}

private fun TrafficState.freeSlots(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Int {
    val route = routing?.findRoute(job.record.host, task.task.path) ?: return 0
    return availableEngines(job, route, task, nowMilliseconds).sumOf { it.entry.slots - it.inFlight }
}

/** Gives one slot after the other to the flow that is next, until no waiting task finds an engine. */
private fun TrafficState.dispatchInOrder(
    nowMilliseconds: Long,
    expectedEvents: (RunningJob, TaskProgress) -> Long,
): Transition<TrafficState, TrafficEffect> {
    val ranked = rankedJobs(nowMilliseconds, expectedEvents)
    val waiting = waitingTasksByFlow(ranked)
    var result = Transition<TrafficState, TrafficEffect>(
        withWorkShares { it.withWaiting(waiting.keys, openFlows(), nowMilliseconds) },
    )
    val unplaced = ArrayList<QueuedTask>()
    val blocked = HashSet<EngineDemand>()
    while (waiting.isNotEmpty()) {
        val heads = waiting.values.map { it.first().waitingFlow() }
        val shares = result.state.queues.workShares
        val turn = shares.nextFlow(heads, nowMilliseconds) ?: break
        val task = waiting.getValue(turn.flow).removeFirst()
        if (waiting.getValue(turn.flow).isEmpty()) waiting.remove(turn.flow)
        val demand = task.engineDemand()
        if (demand == null || demand !in blocked) {
            result = result.andThen { it.dispatchQueued(task, turn, nowMilliseconds) }
        }
        if (result.state.isWaiting(task)) {
            unplaced.add(task)
            demand?.let(blocked::add)
        }
    }
    return result.andThen { it.yieldSlots(ranked, unplaced, nowMilliseconds) }
}

/** Dispatches a task whose flow has its [turn], and charges the expected events to the flow if it got an engine. */
internal fun TrafficState.dispatchQueued(
    task: QueuedTask,
    turn: FlowTurn,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val dispatched = dispatchIfDue(task.job, task.task, nowMilliseconds)
    if (dispatched.state.isWaiting(task)) return dispatched
    val charged = dispatched.state.withWorkShares { it.withServed(turn, task.remainingEvents, nowMilliseconds) }
    return dispatched.copy(state = charged)
}

private fun TrafficState.isWaiting(task: QueuedTask): Boolean =
    jobs[task.job]?.tasks?.get(task.task)?.phase == TaskPhase.WAITING
