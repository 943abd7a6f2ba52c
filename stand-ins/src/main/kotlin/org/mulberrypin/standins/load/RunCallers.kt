/** Runs a load test: one thread per caller, and a tally thread that receives results through a ring buffer. */
package org.mulberrypin.standins.load

import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.runtime.systemClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

/** Runs a load test and returns its results. Blocks the calling thread until all callers have ended. */
public fun runCallers(
    options: CallerOptions,
    clock: ServiceClock = systemClock(),
): CallerReport {
    require(options.addresses.isNotEmpty()) { "CallerOptions.addresses is empty, expected at least one address." }
    val ring = boundedRing<() -> Unit>("load-tally", TALLY_RING_CAPACITY)
    val droppedResults = AtomicLong()
    val tally = CallerTally()
    val tallyDuty = startDuty("load-tally", ring, clock, TALLY_TICK_MILLISECONDS, { it() }, {})
    val record = { result: CallResult -> if (!ring.offer { tally.count(result) }) droppedResults.incrementAndGet() }
    val endMilliseconds = clock.readMilliseconds() + options.durationMilliseconds
    val callers = List(options.callers) { number ->
        Caller(options, number, clock, endMilliseconds) { record(it) }
    }
    callers.mapIndexed { number, caller -> startThread("load-caller-$number", caller::run) }.forEach(Thread::join)
    val flushed = CompletableFuture<Unit>()
    while (!ring.offer { flushed.complete(Unit) }) Thread.sleep(TALLY_TICK_MILLISECONDS)
    flushed.join()
    tallyDuty.stop(TALLY_TICK_MILLISECONDS)
    return tally.report(droppedResults.get())
}

internal fun startThread(
    name: String,
    run: () -> Unit,
): Thread = Thread(run, name).apply { isDaemon = true }.also(Thread::start)

private const val TALLY_RING_CAPACITY = 65_536
private const val TALLY_TICK_MILLISECONDS = 100L
