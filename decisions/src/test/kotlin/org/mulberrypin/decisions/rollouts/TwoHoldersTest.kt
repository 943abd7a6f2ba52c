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

/** An instance whose store answers immediately, unless its reads or writes are delayed. */
private class StepHolder(
    private val name: String,
    private val store: FakeStepStore,
) {
    val answers = mutableListOf<BatchAnswer>()
    val pendingWrites = mutableListOf<StepEffect.Write>()
    var delaysWrites = false
    var delaysReads = false
    private val pendingReads = ArrayDeque<StepEvent>()
    var state = StepState()
    private var nowMilliseconds = 0L

    init {
        handle(StepEvent.InstancesChanged(mapOf(name to 1L)))
    }

    fun open(request: StepRequest) = handle(StepEvent.CallReceived(TrainerCall.Open(0, request)))

    fun requestBatch(
        acknowledged: Long,
        version: Long = 5,
    ): BatchAnswer {
        val request = BatchRequest("sorter", "1", acknowledged, version, team = "kerbrat")
        handle(StepEvent.CallReceived(TrainerCall.NextBatch(answers.size + 1L, request, isForwarded = true)))
        return answers.last()
    }

    fun expireLease() {
        nowMilliseconds += LEASE_MILLISECONDS
        handle(StepEvent.Tick)
    }

    fun deliverOldestRead() = handle(pendingReads.removeFirst())

    fun completeWrites() {
        val writes = pendingWrites.toList().also { pendingWrites.clear() }
        writes.forEach { handle(StepEvent.WriteEnded(it.write, store.write(it.write))) }
    }

    private fun handle(event: StepEvent) {
        val policy = StepPolicy(name, 1, 1, 3, 0.0, 100, LEASE_MILLISECONDS, LEASE_MILLISECONDS)
        val transition = stepDecision(policy)(state, event, nowMilliseconds)
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> {
                answers += effect.answer
            }

            is StepEffect.ReadSnapshot -> {
                pendingReads += StepEvent.SnapshotRead(effect.key, store.readSnapshot(effect.key), effect.callNumber)
                if (!delaysReads) {
                    deliverOldestRead()
                }
            }

            is StepEffect.Open -> {
                val (result, objects) = store.open(effect.opening)
                handle(StepEvent.OpeningEnded(effect.opening.key, result, objects))
            }

            is StepEffect.Write -> {
                write(effect)
            }

            is StepEffect.AssignGroup -> {
                if (effect.assignment.change == GroupChange.START) generate(effect)
            }

            is StepEffect.Renew, is StepEffect.Release, is StepEffect.ForwardCall, is StepEffect.Explain -> {
                return
            }
        }
    }

    private fun write(effect: StepEffect.Write) {
        pendingWrites += effect
        if (!delaysWrites) {
            completeWrites()
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

@DisplayName("Two instances that both consider themselves the holder of a step")
class TwoHoldersTest {
    private val store = FakeStepStore()
    private val first = StepHolder("a", store)
    private val second = StepHolder("b", store)

    init {
        val groups = (1..3).map { PromptGroup("group-$it", "prompt", samples = 1) }
        first.open(StepRequest("sorter", "1", "m", groups, stalenessBound = 1, trainerVersion = 5, team = "kerbrat"))
    }

    private fun takeOver() {
        second.requestBatch(0)
        second.expireLease()
        expectThat(second.state.heldSteps).containsKey(StepHolder.KEY)
    }

    @Test
    fun `deliver the same frozen batch`() {
        val batch = first.requestBatch(0).batch
        takeOver()
        expectThat(second.requestBatch(0).batch).isNotNull().isEqualTo(batch)
    }

    @Test
    fun `commit no delayed write of the previous holder`() {
        first.delaysWrites = true
        first.requestBatch(0)
        takeOver()
        val batch = second.requestBatch(0).batch
        first.completeWrites()
        expectThat(first.state.heldSteps).isEmpty()
        expectThat(first.answers.last()).isEqualTo(retryLater)
        expectThat(second.requestBatch(0).batch).isEqualTo(batch)
    }

    @Test
    fun `send no answer from the outdated state of the previous holder`() {
        first.requestBatch(0)
        takeOver()
        val newBatch = second.requestBatch(1).batch
        expectThat(first.requestBatch(checkNotNull(newBatch).number)).isEqualTo(retryLater)
        expectThat(first.state.heldSteps).isEmpty()
    }

    @Test
    fun `deliver no batch that the other one has voided`() {
        first.requestBatch(0)
        takeOver()
        expectThat(second.requestBatch(0, version = 7).voided).isEqualTo(listOf(1L))
        expectThat(first.requestBatch(0).batch).isEqualTo(null)
    }

    @Test
    fun `verify the lease with no read that started before the call`() {
        first.requestBatch(0)
        first.delaysReads = true
        first.expireLease()
        takeOver()
        second.requestBatch(0, version = 7)
        first.requestBatch(0)
        val answerCount = first.answers.size
        first.deliverOldestRead()
        expectThat(first.answers.size).isEqualTo(answerCount)
        first.deliverOldestRead()
        expectThat(first.answers.last()).isEqualTo(retryLater)
    }
}
