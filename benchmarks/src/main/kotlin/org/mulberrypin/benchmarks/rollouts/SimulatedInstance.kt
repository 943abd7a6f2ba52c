package org.mulberrypin.benchmarks.rollouts

import org.mulberrypin.decisions.rollouts.RunnerEffect
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.RunnerState
import org.mulberrypin.decisions.rollouts.StepEffect
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepOpened
import org.mulberrypin.decisions.rollouts.StepState
import org.mulberrypin.decisions.rollouts.StepView
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.decisions.rollouts.TrainerAsk
import org.mulberrypin.decisions.rollouts.Versioned
import org.mulberrypin.decisions.rollouts.runnerDecision
import org.mulberrypin.decisions.rollouts.stepDecision
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord

/** One instance that runs the real decisions on simulated time; its steps are never taken over. */
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
    private val answers = mutableMapOf<Long, (BatchAnswer) -> Unit>()
    private val groupCalls = mutableMapOf<Long, (GroupResult) -> Unit>()
    private val leases = mutableMapOf<StepKey, Versioned<LeaseRecord>>()
    private val records = mutableMapOf<StepKey, Versioned<StepRecord>>()
    private var steps = StepState()
    private var runner = RunnerState()
    private var nextCall = 1L

    /** Commits to the table service so far, heartbeats not counted. */
    var commits = 0
        private set

    val tokensGenerated: Long
        get() = engines.tokensGenerated

    fun tellInstances(names: List<String>) = step(StepEvent.InstancesChanged(names.associateWith { 1L }))

    fun tick() {
        step(StepEvent.Tick)
        run(RunnerEvent.Tick)
        clock.after(TICK_MILLISECONDS) { tick() }
    }

    fun ask(
        numbered: (Long) -> TrainerAsk,
        onAnswer: (BatchAnswer) -> Unit,
    ) {
        val number = nextCall++
        answers[number] = onAnswer
        step(StepEvent.Asked(numbered(number)))
    }

    private fun step(event: StepEvent) {
        val transition = decideStep(steps, event, clock.nowMilliseconds)
        steps = transition.state
        transition.effects.forEach(::carryOut)
    }

    fun run(event: RunnerEvent) {
        val transition = decideRunner(runner, event, clock.nowMilliseconds)
        runner = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> answers.remove(effect.ask)?.invoke(effect.answer)

            is StepEffect.ReadView -> clock.after(STORE_MILLISECONDS) {
                val view = StepView(leases[effect.key], records[effect.key])
                step(StepEvent.ViewRead(effect.key, view, effect.ask))
            }

            is StepEffect.Open -> clock.after(STORE_MILLISECONDS) { open(effect) }

            is StepEffect.Write -> clock.after(STORE_MILLISECONDS) {
                commits++
                records[effect.write.key] = Versioned(effect.write.recordVersion + 1, effect.write.record)
                step(StepEvent.WriteEnded(effect.write, StoreResult.COMMITTED))
            }

            is StepEffect.AssignGroup -> clock.after(NETWORK_MILLISECONDS) { assign(effect) }

            is StepEffect.PassOn, is StepEffect.Release, is StepEffect.Renew, is StepEffect.Explain -> Unit
        }
    }

    private fun open(effect: StepEffect.Open) {
        val opening = effect.opening
        val request = checkNotNull(opening.newStep) { "A simulated step is never taken over." }
        commits++
        leases[opening.key] = Versioned(1, opening.lease.record)
        records[opening.key] = Versioned(1, opening.record.record)
        step(StepEvent.OpeningEnded(opening.key, StoreResult.COMMITTED, StepOpened(request, frozenBatch = null)))
    }

    private fun assign(effect: StepEffect.AssignGroup) {
        val assignment = effect.assignment
        instanceOf(effect.instance).runGroup(assignment) { result ->
            if (assignment.change == GroupChange.START) {
                clock.after(NETWORK_MILLISECONDS) { step(groupEnded(assignment, result)) }
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
        val call = nextCall++
        groupCalls[call] = onResult
        run(RunnerEvent.Assigned(call, assignment))
    }

    private fun carryOut(effect: RunnerEffect) {
        when (effect) {
            is RunnerEffect.Submit -> engines.submit(effect)

            is RunnerEffect.Cancel -> engines.cancel(effect.request)

            is RunnerEffect.AnswerGroup -> groupCalls.remove(effect.call)?.invoke(effect.result)

            is RunnerEffect.Score -> clock.after(NETWORK_MILLISECONDS) {
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
