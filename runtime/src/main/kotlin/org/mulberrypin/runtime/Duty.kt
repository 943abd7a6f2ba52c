package org.mulberrypin.runtime

import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicBoolean

/**
 * One named thread that takes events from one bounded ring and handles them in order.
 *
 * The thread parks while its ring is empty and wakes at least once in each tick interval to handle a tick. An event
 * whose handling throws is logged and dropped; the thread continues with the next one.
 */
public class Duty internal constructor(
    private val name: String,
    private val runOnce: () -> Unit,
) {
    private val running = AtomicBoolean(true)
    private val thread = Thread(::runUntilStopped, name)

    internal fun start(): Duty {
        thread.isDaemon = true
        thread.start()
        return this
    }

    /** Stops the thread after the event in hand and waits up to [waitMilliseconds] for it to end. */
    public fun stop(waitMilliseconds: Long) {
        running.set(false)
        thread.join(waitMilliseconds)
    }

    private fun runUntilStopped() {
        while (running.get()) {
            try {
                runOnce()
            } catch (failure: Exception) {
                logger.error("{}: event failed.", name, failure)
            }
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("duty")
    }
}

/**
 * Starts a duty named [name] on [ring].
 *
 * @param tickMilliseconds the longest time between two calls of [handleTick]
 * @param handleEvent handles one element of the ring
 * @param handleTick called when the tick interval has passed, also while events keep arriving
 */
public fun <Event : Any> startDuty(
    name: String,
    ring: BoundedRing<Event>,
    clock: ServiceClock,
    tickMilliseconds: Long,
    handleEvent: (Event) -> Unit,
    handleTick: () -> Unit,
): Duty {
    var nextTickMilliseconds = clock.readMilliseconds()
    val runOnce = {
        val waitMilliseconds = (nextTickMilliseconds - clock.readMilliseconds()).coerceIn(0, LONGEST_PARK_MILLISECONDS)
        ring.take(waitMilliseconds)?.let(handleEvent)
        if (clock.readMilliseconds() >= nextTickMilliseconds) {
            nextTickMilliseconds = clock.readMilliseconds() + tickMilliseconds
            handleTick()
        }
    }
    return Duty(name, runOnce).start()
}

/** Longest time a thread parks, so that it notices soon that it shall stop, in milliseconds. */
private const val LONGEST_PARK_MILLISECONDS = 250L
