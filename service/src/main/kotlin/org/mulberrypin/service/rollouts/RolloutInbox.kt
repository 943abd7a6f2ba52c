/**
 * The way into the step duty. A call that finds the ring full is refused and its caller told to ask again. The outcome
 * of an operation that the duty itself began is never dropped: where the ring is full it waits in a queue that holds
 * at most one element for each operation under way, and the duty empties the queue with its next tick. A reply of a
 * request that finds the ring full loses its sample, which is generated again.
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
    private val outcomes = ConcurrentLinkedQueue<RolloutInput>()
    private val cutRequests = ConcurrentHashMap.newKeySet<Long>()

    fun offer(input: RolloutInput): Boolean = ring.offer(input)

    fun deliver(outcome: RolloutInput) {
        if (!ring.offer(outcome)) {
            outcomes.add(outcome)
        }
    }

    fun deliverReply(
        request: Long,
        reply: RequestReply,
    ) {
        if (request in cutRequests || !ring.offer(RolloutInput.Runner(RunnerEvent.Replied(request, reply)))) {
            cutRequests.add(request)
        }
    }

    /** Takes what did not fit into the ring. */
    fun takeOverflow(): List<RolloutInput> {
        val cut = cutRequests.toList().onEach { cutRequests.remove(it) }
        val lost = RequestReply.MayHaveRun("A reply found the ring full.", step = "take reply", peer = ring.name)
        return generateSequence(outcomes::poll).toList() +
            cut.map { RolloutInput.Runner(RunnerEvent.Replied(it, lost)) }
    }
}
