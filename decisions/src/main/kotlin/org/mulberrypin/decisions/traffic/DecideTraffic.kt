/** Entry point of the traffic decisions, which forward requests and run batch jobs. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.cold.withEntries
import org.mulberrypin.decisions.requests.retainingTeams
import org.mulberrypin.schema.generated.ServingConfiguration

/**
 * Applies an event and returns the next state and the effects to perform.
 *
 * @param nowMilliseconds time in milliseconds on the clock of this process, for timeouts
 * @param wallMilliseconds wall-clock time in milliseconds, for the age of jobs that other instances accepted
 */
public fun decideTraffic(
    state: TrafficState,
    event: TrafficEvent,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.ConfigurationChanged -> {
            val configured = state.handleConfiguration(event.configuration, nowMilliseconds, wallMilliseconds)
            Transition(configured.withRequestSharesOf(event.configuration))
        }

        is TrafficEvent.VersionsNamed -> {
            Transition(state.copy(namedVersions = event.versions).withExpectedLoads())
        }

        is TrafficEvent.BackendEvent -> {
            state.decideBackends(event, nowMilliseconds, wallMilliseconds)
        }

        is TrafficEvent.CrashRecordsRead -> {
            state.mergeCrashRecords(event.records, nowMilliseconds, wallMilliseconds)
        }

        is TrafficEvent.LiveInstancesRead -> {
            Transition(state.copy(liveInstances = event.live))
        }

        is TrafficEvent.RequestEvent -> {
            state.decideRequest(event, nowMilliseconds)
        }

        is TrafficEvent.JobEvent -> {
            state.decideJob(event, nowMilliseconds)
        }

        is TrafficEvent.TaskStreamEvent -> {
            state.decideTask(event, nowMilliseconds)
        }

        TrafficEvent.DrainStarted -> {
            Transition(state.copy(draining = true))
        }

        TrafficEvent.ReleaseJobs -> {
            state.releaseJobs()
        }

        TrafficEvent.GraceEnding -> {
            state.failOpenRequests(nowMilliseconds)
        }

        TrafficEvent.Tick -> {
            state.tick(nowMilliseconds, wallMilliseconds)
        }
    }

private fun TrafficState.decideBackends(
    event: TrafficEvent.BackendEvent,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.BackendsChanged -> updateBackends(event, nowMilliseconds, wallMilliseconds)
        is TrafficEvent.ServerLeaving -> handleServerLeaving(event)
        is TrafficEvent.ServerCold -> Transition(handleServerCold(event, nowMilliseconds))
        is TrafficEvent.ColdShareAnswered -> handleColdShare(event, nowMilliseconds)
        is TrafficEvent.DomainsEvacuated -> handleDomainsEvacuated(event.domains, nowMilliseconds)
    }

/** Forgets the shares of teams that are gone. */
private fun TrafficState.withRequestSharesOf(configuration: ServingConfiguration): TrafficState {
    val teams = configuration.teams.mapTo(HashSet()) { it.name }
    return withQueues { it.copy(requestShares = it.requestShares.retainingTeams(teams)) }
}

private fun TrafficState.decideRequest(
    event: TrafficEvent.RequestEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.RequestArrived -> handleRequestArrived(event, nowMilliseconds)
        is TrafficEvent.CallerDisconnected -> requests[event.request]?.let(::handleCallerDisconnect) ?: Transition(this)
        is TrafficEvent.ResponseReceived -> observeAndHandle(event, nowMilliseconds)
        is TrafficEvent.AttemptFailed -> handleFailedAttempt(event, nowMilliseconds)
    }

private fun TrafficState.observeAndHandle(
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    observeResponse(event, nowMilliseconds).handleResponse(event, nowMilliseconds)

private fun TrafficState.decideJob(
    event: TrafficEvent.JobEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.JobSubmitted -> handleJobSubmitted(event)
        is TrafficEvent.JobStored -> handleJobStored(event, nowMilliseconds)
        is TrafficEvent.JobRowsRead -> handleJobRows(event.rows, nowMilliseconds)
        is TrafficEvent.JobLoaded -> loadJob(event, nowMilliseconds)
        is TrafficEvent.DivisionsRead -> Transition(copy(divisions = event.shares).withExpectedLoads())
        is TrafficEvent.JobLoadFailed -> handleJobLoadFailure(event)
        is TrafficEvent.ResultsWritten -> handleResultsWritten(event, nowMilliseconds)
        is TrafficEvent.ResultsWriteFailed -> handleResultsWriteFailure(event, nowMilliseconds)
        is TrafficEvent.ProgressSaved -> handleProgressSaved(event)
        is TrafficEvent.ProgressSaveFailed -> handleProgressSaveFailure(event)
    }

private fun TrafficState.decideTask(
    event: TrafficEvent.TaskStreamEvent,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    when (event) {
        is TrafficEvent.TaskResponseReceived -> handleTaskResponse(event, nowMilliseconds)
        is TrafficEvent.TaskEventsArrived -> handleTaskEvents(event, nowMilliseconds)
        is TrafficEvent.TaskEnded -> handleTaskEnd(event, nowMilliseconds).andDispatchTasks(nowMilliseconds)
        is TrafficEvent.TaskAttemptFailed -> handleTaskFailure(event, nowMilliseconds).andDispatchTasks(nowMilliseconds)
    }

private fun Transition<TrafficState, TrafficEffect>.andDispatchTasks(
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> = andThen { it.dispatchTasks(nowMilliseconds) }

private fun TrafficState.updateBackends(
    event: TrafficEvent.BackendsChanged,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val listed = backends.reconciledWith(event.entries.map(leavingServers::mark))
    val cold = coldServers.withEntries(event.entries, backends.isEmpty(), nowMilliseconds, wallMilliseconds)
    val updated = copy(backends = listed.withInFlightCounts(this), coldServers = cold).withExpectedLoads()
    return Transition<TrafficState, TrafficEffect>(updated).andDispatchTasks(nowMilliseconds)
}

/** Recomputes the in-flight counts from [state], since a backend server that is new in the list starts at zero. */
private fun PersistentMap<String, Backend>.withInFlightCounts(state: TrafficState): PersistentMap<String, Backend> {
    val inFlightCounts = HashMap<String, Int>()
    state.requests.values
        .mapNotNull { it.server }
        .forEach { inFlightCounts.merge(it, 1, Int::plus) }
    state.jobs.values
        .flatMap { it.tasks.values }
        .filter { it.phase == TaskPhase.RUNNING }
        .mapNotNull { it.server }
        .forEach { inFlightCounts.merge(it, 1, Int::plus) }
    var updated = this
    values.forEach { updated = updated.put(it.entry.id, it.copy(inFlight = inFlightCounts[it.entry.id] ?: 0)) }
    return updated
}

private fun TrafficState.handleJobLoadFailure(
    event: TrafficEvent.JobLoadFailed,
): Transition<TrafficState, TrafficEffect> =
    Transition(this, listOf(TrafficEffect.RecordDecision(event.job, "job not loaded", "store", event.detail)))

private fun TrafficState.tick(
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    withQueues { it.copy(wallOffsetMilliseconds = wallMilliseconds - nowMilliseconds) }
        .expireCarriedTasks(nowMilliseconds)
        .expireObservations(nowMilliseconds)
        .expireSuspects(nowMilliseconds)
        .andThen { it.tickColdServers(nowMilliseconds) }
        .andThen { it.continueRequests(nowMilliseconds) }
        .andThen { it.timeOutIdleTasks(nowMilliseconds) }
        .andThen { it.continueJobs(nowMilliseconds, wallMilliseconds) }
        .andThen { it.loadOwnJobs(nowMilliseconds) }
        .andThen { it.takeOverJobs(nowMilliseconds) }
        .andThen { it.dispatchTasks(nowMilliseconds) }
        .andThen { it.moveTasks(nowMilliseconds) }
        .andThen { it.saveProgress(nowMilliseconds) }
        .andThen { it.stateDemand(nowMilliseconds, wallMilliseconds) }
