package org.mulberrypin.benchmarks.rollouts

import org.mulberrypin.decisions.rollouts.RunnerEffect
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.RunnerState
import org.mulberrypin.decisions.rollouts.StepEffect
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepObjects
import org.mulberrypin.decisions.rollouts.StepSnapshot
import org.mulberrypin.decisions.rollouts.StepState
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.decisions.rollouts.TrainerCall
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.decisions.rollouts.runnerDecision
import org.mulberrypin.decisions.rollouts.stepDecision
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord

/** An instance that runs the production decisions in simulated time. Its steps are never taken over by others. */
internal class SimulatedInstance(
    private val name: String,
    private val clock: SimulatedClock,
    private val policy: RolloutPolicy,
    private val instanceOf: (String) -> SimulatedInstance,
    private val enginesOf: (SimulatedInstance) -> SimulatedEngines,
) {
    private val engines = enginesOf(this)
    private val decideStep = stepDecision(policy.step(name))
    private val decideRunner = runnerDecision(policy.runner)
    private val trainerCallbacks = mutableMapOf<Long, (BatchAnswer) -> Unit>()
    private val groupCallbacks = mutableMapOf<Long, (GroupResult) -> Unit>()
    private val leases = mutableMapOf<StepKey, Versioned<LeaseRecord>>()
    private val records = mutableMapOf<StepKey, Versioned<StepRecord>>()
    private var stepState = StepState()
    private var runnerState = RunnerState()
    private var nextCallNumber = 1L

    /** Commits to the table service so far, without heartbeats. */
    var commits = 0
        private set

    val tokensGenerated: Long
        get() = engines.tokensGenerated

    /** Sets the names of all instances. */
    fun setInstances(names: List<String>) = step(StepEvent.InstancesChanged(names.associateWith { 1L }))

    fun tick() {
        step(StepEvent.Tick)
        run(RunnerEvent.Tick)
        clock.schedule(TICK_MILLISECONDS) { tick() }
    }

    /** Passes a trainer's call, which [createCall] creates from its number, to the step decision. */
    fun call(
        createCall: (Long) -> TrainerCall,
        onResponse: (BatchAnswer) -> Unit,
    ) {
        val number = nextCallNumber++
        trainerCallbacks[number] = onResponse
        step(StepEvent.CallReceived(createCall(number)))
    }

    private fun step(event: StepEvent) {
        val transition = decideStep(stepState, event, clock.nowMilliseconds)
        stepState = transition.state
        transition.effects.forEach(::execute)
    }

    fun run(event: RunnerEvent) {
        val transition = decideRunner(runnerState, event, clock.nowMilliseconds)
        runnerState = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> trainerCallbacks.remove(effect.callNumber)?.invoke(effect.answer)

            is StepEffect.ReadSnapshot -> clock.schedule(STORE_MILLISECONDS) {
                val snapshot = StepSnapshot(leases[effect.key], records[effect.key])
                step(StepEvent.SnapshotRead(effect.key, snapshot, effect.callNumber))
            }

            is StepEffect.Open -> clock.schedule(STORE_MILLISECONDS) { open(effect) }

            is StepEffect.Write -> clock.schedule(STORE_MILLISECONDS) {
                commits++
                records[effect.write.key] = Versioned(effect.write.recordVersion + 1, effect.write.record)
                step(StepEvent.WriteEnded(effect.write, StoreResult.COMMITTED))
            }

            is StepEffect.AssignGroup -> clock.schedule(NETWORK_MILLISECONDS) { assign(effect) }

            is StepEffect.ForwardCall, is StepEffect.Release, is StepEffect.Renew, is StepEffect.Explain -> Unit
        }
    }

    private fun open(effect: StepEffect.Open) {
        val opening = effect.opening
        val request = checkNotNull(opening.newRequest) { "Expected a new step: simulated steps are never taken over." }
        commits++
        leases[opening.key] = Versioned(1, opening.lease.record)
        records[opening.key] = Versioned(1, opening.record.record)
        step(StepEvent.OpeningEnded(opening.key, StoreResult.COMMITTED, StepObjects(request, frozenBatch = null)))
    }

    private fun assign(effect: StepEffect.AssignGroup) {
        val assignment = effect.assignment
        instanceOf(effect.instance).runGroup(assignment) { result ->
            if (assignment.change == GroupChange.START) {
                clock.schedule(NETWORK_MILLISECONDS) { step(groupEnded(assignment, result)) }
            }
        }
    }

    private fun groupEnded(
        assignment: GroupAssignment,
        result: GroupResult,
    ) = StepEvent.GroupEnded(
        key = StepKey(assignment.team, assignment.trainer, assignment.step),
        fencingNumber = assignment.fencingNumber,
        group = assignment.group.group,
        attempt = assignment.attempt,
        result = result,
    )

    private fun runGroup(
        assignment: GroupAssignment,
        onResult: (GroupResult) -> Unit,
    ) {
        val call = nextCallNumber++
        groupCallbacks[call] = onResult
        run(RunnerEvent.Assigned(call, assignment))
    }

    private fun execute(effect: RunnerEffect) {
        when (effect) {
            is RunnerEffect.Submit -> engines.submit(effect)

            is RunnerEffect.Cancel -> engines.cancel(effect.request)

            is RunnerEffect.AnswerGroup -> groupCallbacks.remove(effect.call)?.invoke(effect.result)

            is RunnerEffect.Score -> clock.schedule(NETWORK_MILLISECONDS) {
                run(RunnerEvent.Scored(effect.request, score = 1.0))
            }
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 1000L
        const val STORE_MILLISECONDS = 20L
        const val NETWORK_MILLISECONDS = 2L
    }
}
