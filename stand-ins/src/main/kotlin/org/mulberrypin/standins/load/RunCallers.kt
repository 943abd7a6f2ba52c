/** A load run: a thread for each caller, joined to one tally by a bounded ring. */
package org.mulberrypin.standins.load

import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.runtime.systemClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

/** Runs the callers of [options] and returns, once all have ended, what they saw. Blocks the calling thread. */
public fun runCallers(
    options: CallerOptions,
    clock: ServiceClock = systemClock(),
): CallerReport {
    require(options.addresses.isNotEmpty()) { "Expected an entry instance to call, found none." }
    val ring = boundedRing<() -> Unit>("load-tally", TALLY_RING_CAPACITY)
    val uncounted = AtomicLong()
    val tally = CallerTally()
    val duty = startDuty("load-tally", ring, clock, TALLY_TICK_MILLISECONDS, { it() }, {})
    val count = { result: CallResult -> if (!ring.offer { tally.count(result) }) uncounted.incrementAndGet() }
    val endMilliseconds = clock.readMilliseconds() + options.durationMilliseconds
    val callers = List(options.callers) { number ->
        Caller(options, number, clock, endMilliseconds) { count(it) }
    }
    callers.mapIndexed { number, caller -> startThread("load-caller-$number", caller::run) }.forEach(Thread::join)
    val counted = CompletableFuture<Unit>()
    while (!ring.offer { counted.complete(Unit) }) Thread.sleep(TALLY_TICK_MILLISECONDS)
    counted.join()
    duty.stop(TALLY_TICK_MILLISECONDS)
    return tally.report(uncounted.get())
}

internal fun startThread(
    name: String,
    run: () -> Unit,
): Thread = Thread(run, name).apply { isDaemon = true }.also(Thread::start)

private const val TALLY_RING_CAPACITY = 65_536
private const val TALLY_TICK_MILLISECONDS = 100L
