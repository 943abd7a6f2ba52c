/**
 * The input of the step duty. If the ring is full, a call is refused, and its caller has to retry. The outcome of an
 * operation that the duty itself started is never dropped: if the ring is full, it goes to an overflow queue, which the
 * duty drains on its next tick and which holds at most one element for each pending operation. If a reply to a sample's
 * request finds the ring full, the sample fails and is generated again, since its text would lack a part.
 */
package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.runtime.BoundedRing
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

internal class RolloutInbox(
    val ring: BoundedRing<RolloutInput>,
) {
    private val overflow = ConcurrentLinkedQueue<RolloutInput>()
    private val failedRequests = ConcurrentHashMap.newKeySet<Long>()

    /** Queues a call; false when the ring is full and the call was not queued. */
    fun offer(input: RolloutInput): Boolean = ring.offer(input)

    /** Queues the outcome of an operation that the step duty started; never dropped. */
    fun deliver(outcome: RolloutInput) {
        if (!ring.offer(outcome)) {
            overflow.add(outcome)
        }
    }

    /** Queues a reply to a sample's request; after one lost reply, later replies to the request are discarded. */
    fun deliverReply(
        request: Long,
        reply: RequestReply,
    ) {
        if (request in failedRequests || !ring.offer(RolloutInput.Runner(RunnerEvent.Replied(request, reply)))) {
            failedRequests.add(request)
        }
    }

    /** Removes and returns queued outcomes, and one failure for each request that lost a reply. */
    fun drainOverflow(): List<RolloutInput> {
        val failed = failedRequests.toList().onEach { failedRequests.remove(it) }
        val lost = RequestReply.MayHaveRun("A reply was dropped: ring full.", step = "take reply", peer = ring.name)
        return generateSequence(overflow::poll).toList() +
            failed.map { RolloutInput.Runner(RunnerEvent.Replied(it, lost)) }
    }
}
