/**
 * Delivers signals from event loops to the request duty's ring without loss. While the ring is full, the signals of a
 * source are queued in order, and a timer on an event loop offers them again, so no thread blocks.
 */
package org.mulberrypin.service.requests

import com.linecorp.armeria.common.CommonPools
import org.mulberrypin.runtime.BoundedRing
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit

/** Creates the outbox of one signal source and returns its thread-safe function to add signals. */
internal fun signalOutbox(ring: BoundedRing<RequestSignal>): (RequestSignal) -> Unit = SignalOutbox(ring)::add

private class SignalOutbox(
    private val ring: BoundedRing<RequestSignal>,
) {
    private val pending = ArrayDeque<RequestSignal>()

    @Synchronized
    fun add(signal: RequestSignal) {
        pending.add(signal)
        if (pending.size == 1) flush()
    }

    @Synchronized
    private fun flush() {
        while (pending.isNotEmpty() && ring.offer(pending.first())) pending.removeFirst()
        if (pending.isNotEmpty()) {
            CommonPools.workerGroup().next().schedule(::flush, RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }
}

/** Delay before signals are offered again to a full ring, in milliseconds. */
private const val RETRY_DELAY_MILLISECONDS = 5L
