package org.mulberrypin.runtime

import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * A named thread that takes events from a bounded ring and handles them in order.
 *
 * The thread parks while its ring is empty and runs a tick handler once per tick interval. If a handler throws, be it
 * an exception or an error such as an exhausted stack, this is logged and the thread continues with the next event; the
 * failed event is not handled again. A thread that ended instead would leave a process that serves nobody and looks
 * alive.
 */
public class Duty internal constructor(
    private val name: String,
    private val readTickAge: () -> Long,
    private val runIteration: () -> Unit,
) {
    private val running = AtomicBoolean(true)
    private val thread = Thread(::runUntilStopped, name)

    internal fun start(): Duty {
        thread.isDaemon = true
        thread.start()
        return this
    }

    /** Time since the last call of the tick handler began, in milliseconds; since the start before the first call. */
    public fun millisecondsSinceTick(): Long = readTickAge()

    /** Stops the thread after the event that it is handling, and waits up to [waitMilliseconds] for it to end. */
    public fun stop(waitMilliseconds: Long) {
        running.set(false)
        thread.join(waitMilliseconds)
    }

    private fun runUntilStopped() {
        while (running.get()) {
            try {
                runIteration()
            } catch (failure: Throwable) {
                logFailure(failure)
            }
        }
    }

    private fun logFailure(failure: Throwable) {
        try {
            logger.error("{}: an event or tick handler failed.", name, failure)
        } catch (_: Throwable) {
            // The logger itself fails when memory is exhausted; the duty has to outlive that, too.
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("duty")
    }
}

/**
 * Starts a duty named [name] on [ring].
 *
 * @param clock the clock that determines when a tick is due
 * @param tickMilliseconds the minimum time between two calls of [handleTick]
 * @param handleEvent handles one element of the ring
 * @param handleTick called when the tick interval has passed, even while events keep arriving
 */
public fun <Event : Any> startDuty(
    name: String,
    ring: BoundedRing<Event>,
    clock: ServiceClock,
    tickMilliseconds: Long,
    handleEvent: (Event) -> Unit,
    handleTick: () -> Unit,
): Duty = startDuty(name, ring, clock, { tickMilliseconds }, handleEvent, handleTick)

/**
 * Starts a duty whose tick interval depends on its state.
 *
 * @param tickMilliseconds returns the minimum time between two calls of [handleTick]; called on the duty's thread
 */
public fun <Event : Any> startDuty(
    name: String,
    ring: BoundedRing<Event>,
    clock: ServiceClock,
    tickMilliseconds: () -> Long,
    handleEvent: (Event) -> Unit,
    handleTick: () -> Unit,
): Duty {
    val startMilliseconds = clock.readMilliseconds()
    val lastTickMilliseconds = AtomicLong(startMilliseconds)
    var hasTicked = false
    val readNextTick = { if (hasTicked) lastTickMilliseconds.get() + tickMilliseconds() else startMilliseconds }
    val runIteration = {
        val waitMilliseconds = (readNextTick() - clock.readMilliseconds()).coerceIn(0, MAX_PARK_MILLISECONDS)
        ring.take(waitMilliseconds)?.let(handleEvent)
        if (clock.readMilliseconds() >= readNextTick()) {
            lastTickMilliseconds.set(clock.readMilliseconds())
            hasTicked = true
            handleTick()
        }
    }
    return Duty(name, { clock.readMilliseconds() - lastTickMilliseconds.get() }, runIteration).start()
}

/** Maximum time a thread parks before it checks whether it was stopped, in milliseconds. */
private const val MAX_PARK_MILLISECONDS = 250L
