/**
 * Carries signals that must not be lost from event loops to the ring of the request duty. While the ring is full, the
 * signals of one source wait in their order, and a timer of the transport offers them again; no thread blocks.
 */
package org.mulberrypin.service.requests

import com.linecorp.armeria.common.CommonPools
import org.mulberrypin.runtime.BoundedRing
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit

/** Creates the outbox of one source; the function it answers may be called by any thread. */
internal fun signalOutbox(ring: BoundedRing<RequestSignal>): (RequestSignal) -> Unit = SignalOutbox(ring)::add

private class SignalOutbox(
    private val ring: BoundedRing<RequestSignal>,
) {
    private val waiting = ArrayDeque<RequestSignal>()

    @Synchronized
    fun add(signal: RequestSignal) {
        waiting.add(signal)
        if (waiting.size == 1) flush()
    }

    @Synchronized
    private fun flush() {
        while (waiting.isNotEmpty() && ring.offer(waiting.first())) waiting.removeFirst()
        if (waiting.isNotEmpty()) {
            CommonPools.workerGroup().next().schedule(::flush, OFFER_AGAIN_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }
}

/** Time after which a signal that found the ring full is offered again, in milliseconds. */
private const val OFFER_AGAIN_MILLISECONDS = 5L
