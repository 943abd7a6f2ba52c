/**
 * The duty that carries requests: one thread takes signals from one ring, calls the decisions, and hands the effects
 * to backend servers, callers and other duties.
 *
 * A full ring means different things to its producers. A new request is refused as not run once half of the ring is
 * taken. Signals from backend servers are offered again a moment later, and until then nothing more is read from that
 * backend server, so that they are never lost.
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

/** Starts the part that carries requests. */
public fun startRequestPart(
    context: EntryContext,
    outlets: RequestOutlets,
): RequestPart = startRequestPart(context, outlets, armeriaBackendClient())

internal fun startRequestPart(
    context: EntryContext,
    outlets: RequestOutlets,
    backendClient: BackendClient,
): RequestPart {
    val ring = boundedRing<RequestSignal>("requests", RING_CAPACITY)
    val state = RequestDutyState(emptyBook(context))
    val duty = RequestDuty(context, outlets, backendClient, state) { signalOutbox(ring) }
    val thread = startDuty("requests", ring, context.clock, TICK_MILLISECONDS, duty::handle, duty::tick)
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
    val numbers = AtomicLong()
    return RequestPart(
        nextNumber = numbers::incrementAndGet,
        submit = { ring.offerArrival(RequestSignal.Submitted(it)) },
        submitPlain = { ring.offerArrival(RequestSignal.PlainSubmitted(it)) },
        cancel = { ring.tell(RequestEvent.CallerLeft(it)) },
        configurationChanged = { ring.tell(RequestEvent.ConfigurationChanged(it)) },
        instancesChanged = { ring.tell(RequestEvent.InstancesChanged(it)) },
        certaintyChanged = { ring.tell(RequestEvent.CertaintyChanged(it)) },
        crashReported = { digest, server -> ring.tell(RequestEvent.CrashReported(digest, server)) },
        drain = { ring.tell(RequestEvent.DrainStarted) },
        inFlight = { state.book.entries.size },
        stop = { thread.stop(STOP_MILLISECONDS) },
    )
}

private fun emptyBook(context: EntryContext): RequestBook =
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

private fun BoundedRing<RequestSignal>.offerArrival(signal: RequestSignal): Boolean =
    depth < capacity / 2 && offer(signal)

private fun BoundedRing<RequestSignal>.tell(event: RequestEvent) = signalOutbox(this)(RequestSignal.Told(event))

/** Signals that wait for the duty at most. */
private const val RING_CAPACITY = 16_384

/** Longest time between two looks at timeouts, in milliseconds. */
private const val TICK_MILLISECONDS = 50L

/** Longest wait for the duty's thread to end, in milliseconds. */
private const val STOP_MILLISECONDS = 1_000L
