/**
 * Starts the request duty: one thread takes signals from one ring, runs the decisions, and sends the effects to
 * backend servers, callers and other duties.
 *
 * New requests are refused as not run once the ring is half full. Signals from backend servers must not be lost: while
 * the ring is full, they are offered again after a short delay, and no more data is read from that backend server.
 */
package org.mulberrypin.service.requests

import io.micrometer.core.instrument.Gauge
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestLimits
import org.mulberrypin.decisions.requests.RequestState
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.RequestSettings
import org.mulberrypin.service.EntryContext
import java.util.concurrent.atomic.AtomicLong

/** Starts the request duty and returns its operations. */
public fun startRequestPart(
    context: EntryContext,
    outputs: RequestOutputs,
): RequestPart = startRequestPart(context, outputs, armeriaBackendClient())

internal fun startRequestPart(
    context: EntryContext,
    outputs: RequestOutputs,
    backendClient: BackendClient,
): RequestPart {
    val ring = boundedRing<RequestSignal>("requests", RING_CAPACITY)
    val state = RequestDutyState(initialRequestState(context))
    val duty = RequestDuty(context, outputs, backendClient, state) { signalOutbox(ring) }
    val thread = startDuty("requests", ring, context.clock, TICK_INTERVAL_MILLISECONDS, duty::handle, duty::tick)
    Gauge
        .builder(
            "mulberrypin.ring.depth",
            ring,
        ) { it.depth.toDouble() }
        .tag("ring", ring.name)
        .register(context.metrics)
    Gauge
        .builder("mulberrypin.requests", state) {
            it.decisionState.entries.size
                .toDouble()
        }.register(context.metrics)
    val requestNumbers = AtomicLong()
    return RequestPart(
        nextRequestNumber = requestNumbers::incrementAndGet,
        submit = { ring.offerSubmission(RequestSignal.CompletionSubmitted(it)) },
        submitServiceCall = { ring.offerSubmission(RequestSignal.ServiceSubmitted(it)) },
        cancel = { ring.offerReliably(RequestEvent.CallerDisconnected(it)) },
        configurationChanged = { ring.offerReliably(RequestEvent.ConfigurationChanged(it)) },
        instancesChanged = { ring.offerReliably(RequestEvent.InstancesChanged(it)) },
        configurationConfirmedChanged = { ring.offerReliably(RequestEvent.ConfigurationConfirmedChanged(it)) },
        crashReported = { digest, server -> ring.offerReliably(RequestEvent.CrashReported(digest, server)) },
        drain = { ring.offerReliably(RequestEvent.DrainStarted) },
        inFlight = { state.decisionState.entries.size },
        stop = { thread.stop(STOP_TIMEOUT_MILLISECONDS) },
    )
}

private fun initialRequestState(context: EntryContext): RequestState =
    RequestState(
        limits = requestLimits(context.settings.requests),
        failureDomain = context.settings.instance.failureDomain,
    )

private fun requestLimits(settings: RequestSettings): RequestLimits =
    RequestLimits(
        inFlightLimit = settings.inFlightLimit,
        queueLimit = settings.queueLimit,
        queueTimeoutMilliseconds = settings.queueWaitMilliseconds,
        firstChunkTimeoutMilliseconds = settings.firstTokenTimeoutMilliseconds,
        idleTimeoutMilliseconds = settings.idleTimeoutMilliseconds,
        attemptLimit = settings.attemptLimit,
        retryRatio = settings.retryBudgetRatio,
        crashLimit = settings.crashLimit,
        isolationMilliseconds = settings.isolationMilliseconds,
    )

private fun BoundedRing<RequestSignal>.offerSubmission(signal: RequestSignal): Boolean =
    depth < capacity / 2 && offer(signal)

/** Offers an event until the ring has room for it. */
private fun BoundedRing<RequestSignal>.offerReliably(event: RequestEvent) =
    signalOutbox(this)(RequestSignal.DecisionEvent(event))

/** Capacity of the request duty's ring, in signals. */
private const val RING_CAPACITY = 16_384

/** Interval between timeout checks, in milliseconds. */
private const val TICK_INTERVAL_MILLISECONDS = 50L

/** Maximum wait for the duty thread to end, in milliseconds. */
private const val STOP_TIMEOUT_MILLISECONDS = 1_000L
