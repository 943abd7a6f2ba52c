package org.mulberrypin.decisions.rollouts

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.PromptGroup
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

@DisplayName("Runner decisions")
class RunnerDecisionTest {
    private val decide = runnerDecision(RunnerPolicy(sampleInFlightLimit = 4, sampleFailureLimit = 3, 60_000))
    private var state = RunnerState()
    private val assignment = GroupAssignment(
        trainer = "sorter",
        step = "1",
        team = "kerbrat",
        model = "sorter-lm",
        group = PromptGroup("group-1", "prompt", samples = 2),
        attempt = 1,
        minimumWeightVersion = 3,
        fencingNumber = 1,
        expectedTokens = 100,
        additionalSamples = 1,
        versionIntervalMilliseconds = 1_000,
    )

    private fun handle(
        event: RunnerEvent,
        nowMilliseconds: Long,
    ): List<RunnerEffect> {
        val transition = decide(state, event, nowMilliseconds)
        state = transition.state
        return transition.effects
    }

    private fun assignGroup(): List<Long> =
        handle(
            RunnerEvent.Assigned(1, assignment),
            0,
        ).filterIsInstance<RunnerEffect.Submit>().map { it.arrival.request }

    private fun receivePart(
        request: Long,
        tokens: Int,
        version: Long,
    ) = handle(RunnerEvent.Replied(request, RequestReply.Chunk("x", tokens, version)), 0)

    @Test
    fun `replaces a sample early if it is predicted to become stale before it ends`() {
        val (slow, fast) = assignGroup()
        receivePart(slow, tokens = 25, version = 3)
        receivePart(fast, tokens = 90, version = 6)
        val effects = handle(RunnerEvent.Tick, 500)
        expectThat(effects.filterIsInstance<RunnerEffect.Cancel>().map { it.request }).isEqualTo(listOf(slow))
        expectThat(effects.filterIsInstance<RunnerEffect.Submit>()).hasSize(1)
    }

    @Test
    fun `replaces a sample whose version falls below the raised minimum`() {
        val (old, _) = assignGroup()
        receivePart(old, tokens = 99, version = 3)
        handle(RunnerEvent.Assigned(2, assignment.copy(change = GroupChange.RAISE, minimumWeightVersion = 4)), 1)
        val effects = handle(RunnerEvent.Tick, 2)
        expectThat(effects.filterIsInstance<RunnerEffect.Cancel>().map { it.request }).isEqualTo(listOf(old))
    }

    @Test
    fun `starts no more backup samples for a straggler than were granted`() {
        val (straggler, _) = assignGroup()
        receivePart(straggler, tokens = 201, version = 9)
        expectThat(handle(RunnerEvent.Tick, 10).filterIsInstance<RunnerEffect.Submit>()).hasSize(1)
        expectThat(handle(RunnerEvent.Tick, 20)).isEmpty()
    }

    @Test
    fun `reports the group as the cause when its content is isolated`() {
        val (request, _) = assignGroup()
        val refusal = RequestReply.NotRun(Refusal.ISOLATED, 0, "admit", "a")
        val answer = handle(RunnerEvent.Replied(request, refusal), 1).filterIsInstance<RunnerEffect.AnswerGroup>()
        expectThat(answer.single().result.groupAtFault).isTrue()
        expectThat(state.samples).isEmpty()
    }

    @Test
    fun `refuses further groups while it drains and keeps the assigned ones`() {
        assignGroup()
        handle(RunnerEvent.Drain, 1)
        val rejected = handle(RunnerEvent.Assigned(2, assignment.copy(attempt = 2)), 2)
        expectThat(rejected.filterIsInstance<RunnerEffect.AnswerGroup>().single().call).isEqualTo(2)
        expectThat(state.groups).hasSize(1)
    }
}
