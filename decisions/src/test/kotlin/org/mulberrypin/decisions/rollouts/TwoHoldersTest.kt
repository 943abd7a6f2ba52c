package org.mulberrypin.decisions.rollouts

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.SampleGroup
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan
import strikt.api.expectThat
import strikt.assertions.containsKey
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** An instance whose store answers at once, unless it is paused before its writes. */
private class Holder(
    private val name: String,
    private val store: FakeStepStore,
) {
    val answers = mutableListOf<BatchAnswer>()
    val heldBack = mutableListOf<StepEffect.Write>()
    var pausesBeforeWrites = false
    var pausesAfterReads = false
    private val heldReads = ArrayDeque<StepEvent>()
    var state = StepState()
    private var now = 0L

    init {
        handle(StepEvent.InstancesChanged(mapOf(name to 1L)))
    }

    fun open(request: StepRequest) = handle(StepEvent.Asked(TrainerAsk.Open(0, request)))

    fun ask(
        acknowledged: Long,
        version: Long = 5,
    ): BatchAnswer {
        val request = BatchRequest("sorter", "1", acknowledged, version, team = "kerbrat")
        handle(StepEvent.Asked(TrainerAsk.NextBatch(answers.size + 1L, request, passedOn = true)))
        return answers.last()
    }

    fun waitForLease() {
        now += LEASE_MILLISECONDS
        handle(StepEvent.Tick)
    }

    fun takeOldestRead() = handle(heldReads.removeFirst())

    fun wake() {
        val writes = heldBack.toList().also { heldBack.clear() }
        writes.forEach { handle(StepEvent.WriteEnded(it.write, store.write(it.write))) }
    }

    private fun handle(event: StepEvent) {
        val policy = StepPolicy(name, 1, 1, 3, 0.0, 100, LEASE_MILLISECONDS, LEASE_MILLISECONDS)
        val transition = stepDecision(policy)(state, event, now)
        state = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> {
                answers += effect.answer
            }

            is StepEffect.ReadView -> {
                heldReads += StepEvent.ViewRead(effect.key, store.readView(effect.key), effect.ask)
                if (!pausesAfterReads) {
                    takeOldestRead()
                }
            }

            is StepEffect.Open -> {
                val (result, opened) = store.open(effect.opening)
                handle(StepEvent.OpeningEnded(effect.opening.key, result, opened))
            }

            is StepEffect.Write -> {
                write(effect)
            }

            is StepEffect.AssignGroup -> {
                if (effect.assignment.change == GroupChange.START) generate(effect)
            }

            is StepEffect.Renew, is StepEffect.Release, is StepEffect.PassOn, is StepEffect.Explain -> {
                return
            }
        }
    }

    private fun write(effect: StepEffect.Write) {
        heldBack += effect
        if (!pausesBeforeWrites) {
            wake()
        }
    }

    private fun generate(effect: StepEffect.AssignGroup) {
        val assignment = effect.assignment
        val group = assignment.group.group
        val sample = Sample("$group/${assignment.fencingNumber}", group, spans = listOf(WeightSpan(5, 2)), tokens = 2)
        val result = GroupResult(SampleGroup(group, listOf(sample)))
        handle(StepEvent.GroupEnded(KEY, assignment.fencingNumber, group, assignment.attempt, result))
    }

    companion object {
        const val LEASE_MILLISECONDS = 1_000L
        val KEY = StepKey("kerbrat", "sorter", "1")
    }
}

@DisplayName("Two instances that both believe they hold a step")
class TwoHoldersTest {
    private val store = FakeStepStore()
    private val first = Holder("a", store)
    private val second = Holder("b", store)

    init {
        val groups = (1..3).map { PromptGroup("group-$it", "prompt", samples = 1) }
        first.open(StepRequest("sorter", "1", "m", groups, stalenessBound = 1, trainerVersion = 5, team = "kerbrat"))
    }

    private fun takeOver() {
        second.ask(0)
        second.waitForLease()
        expectThat(second.state.held).containsKey(Holder.KEY)
    }

    @Test
    fun `hand out the same frozen batch`() {
        val batch = first.ask(0).batch
        takeOver()
        expectThat(second.ask(0).batch).isNotNull().isEqualTo(batch)
    }

    @Test
    fun `commit no write of the paused one`() {
        first.pausesBeforeWrites = true
        first.ask(0)
        takeOver()
        val batch = second.ask(0).batch
        first.wake()
        expectThat(first.state.held).isEmpty()
        expectThat(first.answers.last()).isEqualTo(askAgain)
        expectThat(second.ask(0).batch).isEqualTo(batch)
    }

    @Test
    fun `give no answer from the memory of the paused one`() {
        first.ask(0)
        takeOver()
        val taken = second.ask(1).batch
        expectThat(first.ask(checkNotNull(taken).number)).isEqualTo(askAgain)
        expectThat(first.state.held).isEmpty()
    }

    @Test
    fun `repeat no batch that the other one has voided`() {
        first.ask(0)
        takeOver()
        expectThat(second.ask(0, version = 7).voided).isEqualTo(listOf(1L))
        expectThat(first.ask(0).batch).isEqualTo(null)
    }

    @Test
    fun `take no reading from before a call for one after it`() {
        first.ask(0)
        first.pausesAfterReads = true
        first.waitForLease()
        takeOver()
        second.ask(0, version = 7)
        first.ask(0)
        val answered = first.answers.size
        first.takeOldestRead()
        expectThat(first.answers.size).isEqualTo(answered)
        first.takeOldestRead()
        expectThat(first.answers.last()).isEqualTo(askAgain)
    }
}
