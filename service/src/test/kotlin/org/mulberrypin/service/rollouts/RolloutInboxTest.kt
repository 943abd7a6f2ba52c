package org.mulberrypin.service.rollouts

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.runtime.boundedRing
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

@DisplayName("The rollout inbox with a full ring")
class RolloutInboxTest {
    private val inbox = RolloutInbox(boundedRing("rollout-steps", capacity = 1)).also {
        it.offer(RolloutInput.Step(StepEvent.Tick))
    }

    @Test
    fun `refuses a call`() {
        expectThat(inbox.offer(RolloutInput.Drain)).isFalse()
    }

    @Test
    fun `keeps an outcome until the next drain of the overflow`() {
        inbox.deliver(RolloutInput.Drain)
        expectThat(inbox.drainOverflow()).isEqualTo(listOf(RolloutInput.Drain))
        expectThat(inbox.drainOverflow()).hasSize(0)
    }

    @Test
    fun `reports a request with lost replies as failed exactly once`() {
        repeat(2) { inbox.deliverReply(7, RequestReply.Chunk("x", 1, 1)) }
        val input = inbox.drainOverflow().single()
        expectThat(
            input,
        ).isA<RolloutInput.Runner>().get { event }.isA<RunnerEvent.Replied>().get { request }.isEqualTo(7)
    }
}
