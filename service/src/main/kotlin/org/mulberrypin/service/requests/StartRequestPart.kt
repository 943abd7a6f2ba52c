/**
 * Starts the request duty: one thread takes signals from one ring, runs the decisions, and sends the effects to
 * backend servers, callers and other duties.
 *
 * New requests are refused as not run once the ring is half full. Signals from backend servers must not be lost: while
 * the ring is full, they are offered again after a short delay, and no more data is read from that backend server.
 */
package org.mulberrypin.service.requests

import io.micrometer.core.instrument.Gauge
import org.mulberrypin.decisions.requests.RequestBook
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestLimits
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
    val state = RequestDutyState(initialRequestBook(context))
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
            it.book.entries.size
                .toDouble()
        }.register(context.metrics)
    val requestNumbers = AtomicLong()
    return RequestPart(
        nextNumber = requestNumbers::incrementAndGet,
        submit = { ring.offerSubmission(RequestSignal.CompletionSubmitted(it)) },
        submitPlain = { ring.offerSubmission(RequestSignal.ServiceSubmitted(it)) },
        cancel = { ring.offerReliably(RequestEvent.CallerLeft(it)) },
        configurationChanged = { ring.offerReliably(RequestEvent.ConfigurationChanged(it)) },
        instancesChanged = { ring.offerReliably(RequestEvent.InstancesChanged(it)) },
        certaintyChanged = { ring.offerReliably(RequestEvent.CertaintyChanged(it)) },
        crashReported = { digest, server -> ring.offerReliably(RequestEvent.CrashReported(digest, server)) },
        drain = { ring.offerReliably(RequestEvent.DrainStarted) },
        inFlight = { state.book.entries.size },
        stop = { thread.stop(STOP_TIMEOUT_MILLISECONDS) },
    )
}

private fun initialRequestBook(context: EntryContext): RequestBook =
    RequestBook(
        limits = requestLimits(context.settings.requests),
        failureDomain = context.settings.instance.failureDomain,
    )

private fun requestLimits(settings: RequestSettings): RequestLimits =
    RequestLimits(
        inFlight = settings.inFlightLimit,
        waiting = settings.queueLimit,
        waitMilliseconds = settings.queueWaitMilliseconds,
        firstPartMilliseconds = settings.firstTokenTimeoutMilliseconds,
        idleMilliseconds = settings.idleTimeoutMilliseconds,
        attempts = settings.attemptLimit,
        retryRatio = settings.retryBudgetRatio,
        crashes = settings.crashLimit,
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
