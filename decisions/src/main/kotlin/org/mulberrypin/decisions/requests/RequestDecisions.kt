/**
 * Entry point of the request decisions: admission, dispatch to backend servers, retry and resumption, and replies to
 * callers. A request for which [RequestReply.NotRun] is sent certainly did not run on any backend server.
 */
package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Decision
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen

/** Returns the decision function of the request duty, which schedules requests according to [policies]. */
public fun requestDecision(policies: RequestPolicies): Decision<RequestState, RequestEvent, RequestEffect> =
    { state, event, nowMilliseconds ->
        decide(state, event, nowMilliseconds)
            .andThen { if (event.mayFreeCapacity()) dispatchWaiting(it, policies, nowMilliseconds) else Transition(it) }
    }

private fun RequestEvent.mayFreeCapacity(): Boolean = this !is RequestEvent.ChunkReceived

private fun decide(
    state: RequestState,
    event: RequestEvent,
    nowMilliseconds: Long,
): Transition<RequestState, RequestEffect> =
    when (event) {
        is RequestEvent.RequestSubmitted -> admit(state, event.arrival, nowMilliseconds)

        is RequestEvent.CallerDisconnected -> handleCallerDisconnected(state, event.request)

        is RequestEvent.ChunkReceived -> handleChunk(state, event, nowMilliseconds)

        is RequestEvent.AttemptFinished -> completeRequest(state, event, nowMilliseconds)

        is RequestEvent.AttemptFailed -> handleAttemptFailed(state, event, nowMilliseconds)

        is RequestEvent.LoadReported -> Transition(state.withLoad(event, nowMilliseconds))

        is RequestEvent.LoadRequestFailed -> Transition(state.withoutLoad(event.server))

        is RequestEvent.CrashReported -> Transition(state.withReportedCrash(event, nowMilliseconds))

        is RequestEvent.ConfigurationChanged -> applyConfiguration(state, event.configuration)

        is RequestEvent.InstancesChanged -> Transition(state.copy(instances = event.count.coerceAtLeast(1)))

        is RequestEvent.ConfigurationConfirmedChanged -> Transition(
            state.copy(isConfigurationConfirmed = event.isConfirmed),
        )

        RequestEvent.DrainStarted -> Transition(state.copy(draining = true))

        RequestEvent.Tick -> handleTick(state, nowMilliseconds)
    }

private fun RequestState.withLoad(
    event: RequestEvent.LoadReported,
    nowMilliseconds: Long,
): RequestState =
    withServer(event.server) {
        it.copy(load = event.load, reportedMilliseconds = nowMilliseconds, runningAtReport = it.running)
    }

private fun RequestState.withoutLoad(server: String): RequestState =
    withServer(server) { it.copy(load = null) }

private fun RequestState.withReportedCrash(
    event: RequestEvent.CrashReported,
    nowMilliseconds: Long,
): RequestState = copy(crashes = crashes.withCrash(event.contentDigest, event.server, nowMilliseconds))
