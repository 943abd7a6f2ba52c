/** The decision of the traffic duty, which carries requests and runs batch jobs. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

/**
 * Decides an event.
 *
 * @param nowMilliseconds time of the instance's own clock
 * @param wallMilliseconds time of day, which jobs of all instances are dated with
 */
public fun decideTraffic(
    state: TrafficState,
    event: TrafficEvent,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.ConfigurationChanged -> Transition(state.copy(routing = routingTableOf(event.configuration)))
        is TrafficEvent.BackendsChanged -> state.acceptBackends(event, nowMilliseconds)
        is TrafficEvent.InstancesSeen -> Transition(state.copy(liveInstances = event.live))
        is TrafficEvent.RequestEvent -> state.decideRequest(event, nowMilliseconds)
        is TrafficEvent.JobEvent -> state.decideJob(event, nowMilliseconds)
        is TrafficEvent.TaskStreamEvent -> state.decideTask(event, nowMilliseconds)
        TrafficEvent.DrainStarted -> Transition(state.copy(draining = true))
        TrafficEvent.JobsReleased -> state.releaseJobs()
        TrafficEvent.Ticked -> state.tick(nowMilliseconds, wallMilliseconds)
    }

private fun TrafficState.decideRequest(
    event: TrafficEvent.RequestEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.RequestArrived -> acceptRequest(event, nowMilliseconds)
        is TrafficEvent.CallerLeft -> requests[event.request]?.let(::acceptDeparture) ?: Transition(this)
        is TrafficEvent.Answered -> acceptAnswer(event, nowMilliseconds)
        is TrafficEvent.Broke -> acceptBreak(event, nowMilliseconds)
    }

private fun TrafficState.decideJob(
    event: TrafficEvent.JobEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.JobSubmitted -> submitJob(event)
        is TrafficEvent.JobStored -> acceptStoredJob(event, nowMilliseconds)
        is TrafficEvent.JobRowsSeen -> acceptJobRows(event.rows, nowMilliseconds)
        is TrafficEvent.JobLoaded -> loadJob(event, nowMilliseconds)
        is TrafficEvent.JobLoadFailed -> acceptLoadFailure(event)
        is TrafficEvent.ResultsWritten -> acceptWritten(event, nowMilliseconds)
        is TrafficEvent.ResultsNotWritten -> acceptNotWritten(event, nowMilliseconds)
        is TrafficEvent.ProgressSaved -> acceptSaved(event)
        is TrafficEvent.ProgressNotSaved -> acceptNotSaved(event)
    }

private fun TrafficState.decideTask(
    event: TrafficEvent.TaskStreamEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.TaskAnswered -> acceptTaskAnswer(event, nowMilliseconds)
        is TrafficEvent.TaskEventsArrived -> acceptEvents(event, nowMilliseconds)
        is TrafficEvent.TaskEnded -> acceptTaskEnd(event, nowMilliseconds).dispatching(nowMilliseconds)
        is TrafficEvent.TaskBroke -> acceptTaskBreak(event, nowMilliseconds).dispatching(nowMilliseconds)
    }

private fun Transition<TrafficState, TrafficEffect>.dispatching(
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> = andThen { it.dispatchTasks(nowMilliseconds) }

private fun TrafficState.acceptBackends(
    event: TrafficEvent.BackendsChanged,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val listed = copy(backends = backends.listed(event.entries).recounted(this))
    return Transition<TrafficState, TrafficEffect>(listed).dispatching(nowMilliseconds)
}

/** Counts what is under way anew, since a backend server that is listed again starts without counts. */
private fun PersistentMap<String, Backend>.recounted(state: TrafficState): PersistentMap<String, Backend> {
    val running = HashMap<String, Int>()
    state.requests.values
        .mapNotNull { it.server }
        .forEach { running.merge(it, 1, Int::plus) }
    state.jobs.values
        .flatMap { it.tasks.values }
        .filter { it.phase == TaskPhase.RUNNING }
        .mapNotNull { it.server }
        .forEach { running.merge(it, 1, Int::plus) }
    var table = this
    values.forEach { table = table.put(it.entry.id, it.copy(inFlight = running[it.entry.id] ?: 0)) }
    return table
}

private fun TrafficState.acceptLoadFailure(
    event: TrafficEvent.JobLoadFailed,
): Transition<TrafficState, TrafficEffect> =
    Transition(this, listOf(TrafficEffect.Explain(event.job, "job not loaded", "store", event.detail)))

private fun TrafficState.tick(
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    forgetCarried(nowMilliseconds)
        .continueRequests(nowMilliseconds)
        .andThen { it.breakSilentTasks(nowMilliseconds) }
        .andThen { it.continueJobs(nowMilliseconds, wallMilliseconds) }
        .andThen { it.loadOwnJobs(nowMilliseconds) }
        .andThen { it.takeOverJobs(nowMilliseconds) }
        .andThen { it.dispatchTasks(nowMilliseconds) }
        .andThen { it.saveProgress(nowMilliseconds) }
