/**
 * Simulates several instances, a store and engines. Pending actions run in random order, and faults are injected at
 * random; a single seed determines a run.
 */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.WeightSpan
import kotlin.random.Random

/** A simulated process and its in-memory state. */
internal class SimulatedInstance(
    val name: String,
) {
    var incarnation = 1L
    var steps = StepState()
    var runner = RunnerState()
    var pausedUntilMilliseconds = 0L
    val answers = mutableMapOf<Long, (BatchAnswer) -> Unit>()
    val groupCalls = mutableMapOf<Long, (GroupResult) -> Unit>()
}

private class PendingAction(
    val instance: SimulatedInstance?,
    val incarnation: Long,
    val action: () -> Unit,
)

internal class SimulatedCluster(
    seed: Long,
    private val crashAtEffect: Int = NO_CRASH,
) {
    val random = Random(seed)
    val store = FakeStepStore()
    var nowMilliseconds = 0L
    var faulty = true
    var effectCount = 0
    var engineVersion = 1L
    private val instances = listOf("a", "b", "c").map { SimulatedInstance(it) }
    private val pendingActions = mutableListOf<PendingAction>()
    private val spans = mutableMapOf<String, List<WeightSpan>>()
    private var nextCall = 1L

    init {
        instances.forEach(::publishInstances)
    }

    fun spansOf(sample: String): List<WeightSpan>? = spans[sample]

    /** Advances the time and runs one randomly chosen action. */
    fun runRandomAction(trainer: FakeTrainer) {
        nowMilliseconds += random.nextLong(20)
        when (random.nextInt(12)) {
            0 -> instances.forEach { tick(it) }
            1 -> if (trainer.isDue(nowMilliseconds, timeoutMilliseconds = if (faulty) 400 else 5_000)) sendCall(trainer)
            2 -> crashOrPauseInstance()
            3 -> advanceVersions(trainer)
            else -> runPendingAction()
        }
    }

    private fun crashOrPauseInstance() {
        val instance = instances.random(random)
        if (injectFault(10)) {
            crash(instance)
        } else if (injectFault(10)) {
            instance.pausedUntilMilliseconds = nowMilliseconds + 2_500
        }
    }

    private fun advanceVersions(trainer: FakeTrainer) {
        if (injectFault(10)) {
            trainer.version++
        }
        engineVersion = maxOf(engineVersion, trainer.version - random.nextLong(2))
    }

    private fun runPendingAction() {
        if (pendingActions.isNotEmpty()) {
            val pending = pendingActions.removeAt(random.nextInt(pendingActions.size))
            val instance = pending.instance
            when {
                instance == null -> pending.action()
                instance.incarnation != pending.incarnation -> Unit
                instance.pausedUntilMilliseconds > nowMilliseconds -> pendingActions.add(pending)
                else -> pending.action()
            }
        }
    }

    private fun schedule(
        instance: SimulatedInstance?,
        action: () -> Unit,
    ) {
        pendingActions.add(PendingAction(instance, instance?.incarnation ?: 0, action))
    }

    private fun injectFault(oneIn: Int): Boolean = faulty && random.nextInt(oneIn) == 0

    private fun tick(instance: SimulatedInstance) {
        if (instance.pausedUntilMilliseconds <= nowMilliseconds) {
            handleStepEvent(instance, StepEvent.Tick)
            handleRunnerEvent(instance, RunnerEvent.Tick)
        }
    }

    private fun sendCall(trainer: FakeTrainer) {
        val (createCall, onResponse) = trainer.nextCall(nowMilliseconds)
        val copies = if (random.nextInt(4) == 0) 2 else 1
        repeat(copies) {
            val instance = instances.random(random)
            schedule(instance) { call(instance, createCall, onResponse) }
        }
    }

    private fun call(
        instance: SimulatedInstance,
        createCall: (Long) -> TrainerCall,
        onResponse: (BatchAnswer) -> Unit,
    ) {
        val number = nextCall++
        instance.answers[number] = { answer -> if (!injectFault(10)) schedule(null) { onResponse(answer) } }
        handleStepEvent(instance, StepEvent.CallReceived(createCall(number)))
    }

    private fun crash(instance: SimulatedInstance) {
        instance.incarnation++
        instance.steps = StepState()
        instance.runner = RunnerState()
        instance.answers.clear()
        instance.groupCalls.clear()
        publishInstances(instance)
    }

    private fun publishInstances(instance: SimulatedInstance) {
        handleStepEvent(instance, StepEvent.InstancesChanged(instances.associate { it.name to it.incarnation }))
    }

    private fun handleStepEvent(
        instance: SimulatedInstance,
        event: StepEvent,
    ) {
        val policy = StepPolicy(instance.name, instance.incarnation, 2, 10_000, 0.2, 6, LEASE_MILLISECONDS, 300)
        val transition = stepDecision(policy)(instance.steps, event, nowMilliseconds)
        instance.steps = transition.state
        val incarnation = instance.incarnation
        for (effect in transition.effects) {
            if (++effectCount == crashAtEffect || injectFault(300)) {
                crash(instance)
            }
            if (instance.incarnation != incarnation) {
                return
            }
            execute(instance, effect)
        }
    }

    private fun execute(
        instance: SimulatedInstance,
        effect: StepEffect,
    ) {
        when (effect) {
            is StepEffect.Answer -> instance.answers.remove(effect.callNumber)?.invoke(effect.answer)

            is StepEffect.ReadSnapshot -> schedule(null) {
                val snapshot = if (injectFault(8)) null else store.readSnapshot(effect.key)
                schedule(instance) {
                    handleStepEvent(instance, StepEvent.SnapshotRead(effect.key, snapshot, effect.callNumber))
                }
            }

            is StepEffect.Open -> storeWrite(
                { store.open(effect.opening) },
                { StoreResult.FAILED to null },
            ) { outcome ->
                val event = StepEvent.OpeningEnded(effect.opening.key, outcome.first, outcome.second)
                schedule(instance) { handleStepEvent(instance, event) }
            }

            is StepEffect.Write -> storeWrite({ store.write(effect.write) }, { StoreResult.FAILED }) { result ->
                schedule(instance) { handleStepEvent(instance, StepEvent.WriteEnded(effect.write, result)) }
            }

            is StepEffect.Renew -> storeWrite({ store.renew(effect.heartbeat) }, {}) {}

            is StepEffect.Release -> storeWrite({ store.release(effect.key, effect.lease) }, {}) {}

            is StepEffect.ForwardCall -> forwardCall(instance, effect)

            is StepEffect.AssignGroup -> assignGroup(instance, effect)

            is StepEffect.Explain -> Unit
        }
    }

    /** Applies a write now, never, now with its answer lost, or later with its answer lost. */
    private fun <Result> storeWrite(
        apply: () -> Result,
        failed: () -> Result,
        onResult: (Result) -> Unit,
    ) {
        schedule(null) {
            when {
                injectFault(10) -> {
                    onResult(failed())
                }

                injectFault(10) -> {
                    apply()
                    onResult(failed())
                }

                injectFault(10) -> {
                    onResult(failed())
                    schedule(null) { apply() }
                }

                else -> {
                    onResult(apply())
                }
            }
        }
    }

    private fun forwardCall(
        instance: SimulatedInstance,
        effect: StepEffect.ForwardCall,
    ) {
        val holder = instances.first { it.name == effect.instance }
        val onEnded = { answer: BatchAnswer? ->
            schedule(instance) { handleStepEvent(instance, StepEvent.ForwardEnded(effect.callNumber, answer)) }
        }
        if (injectFault(8) || holder.pausedUntilMilliseconds > nowMilliseconds) {
            onEnded(null)
        } else {
            schedule(holder) {
                call(holder, { TrainerCall.NextBatch(it, effect.request, isForwarded = true) }, { onEnded(it) })
            }
        }
    }

    private fun assignGroup(
        holder: SimulatedInstance,
        effect: StepEffect.AssignGroup,
    ) {
        val assignment = effect.assignment
        val runner = instances.first { it.name == effect.instance }
        val onEnded = { result: GroupResult? ->
            val event = StepEvent.GroupEnded(
                StepKey(assignment.team, assignment.trainer, assignment.step),
                assignment.fencingNumber,
                assignment.group.group,
                assignment.attempt,
                result,
            )
            repeat(if (injectFault(10)) 2 else 1) { schedule(holder) { handleStepEvent(holder, event) } }
        }
        val incarnation = runner.incarnation
        schedule(null) {
            val isLost = injectFault(10) || runner.incarnation != incarnation
            if (isLost && assignment.change == GroupChange.START) {
                onEnded(null)
            }
            if (!isLost || injectFault(2)) {
                val call = nextCall++
                runner.groupCalls[call] = { onEnded(if (injectFault(10)) null else it) }
                schedule(runner) { handleRunnerEvent(runner, RunnerEvent.Assigned(call, assignment)) }
                detectCrash(runner, call) { onEnded(null) }
            }
        }
    }

    /** Ends a call with [onCrash] once its instance has crashed. */
    private fun detectCrash(
        runner: SimulatedInstance,
        call: Long,
        onCrash: () -> Unit,
    ) {
        val incarnation = runner.incarnation
        schedule(null) {
            when {
                runner.incarnation != incarnation -> onCrash()
                call in runner.groupCalls -> detectCrash(runner, call, onCrash)
            }
        }
    }

    private fun handleRunnerEvent(
        instance: SimulatedInstance,
        event: RunnerEvent,
    ) {
        val policy = RunnerPolicy(sampleInFlightLimit = 6, sampleFailureLimit = 3, longestRequestMilliseconds = 60_000)
        val transition = runnerDecision(policy)(instance.runner, event, nowMilliseconds)
        instance.runner = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is RunnerEffect.Submit -> generate(instance, effect, emptyList(), remaining = 1 + random.nextInt(6))

                is RunnerEffect.Cancel -> Unit

                is RunnerEffect.AnswerGroup -> instance.groupCalls.remove(effect.call)?.invoke(effect.result)

                is RunnerEffect.Score -> schedule(instance) {
                    handleRunnerEvent(instance, RunnerEvent.Scored(effect.request, if (injectFault(20)) null else 1.0))
                }
            }
        }
    }

    private fun generate(
        instance: SimulatedInstance,
        effect: RunnerEffect.Submit,
        produced: List<WeightSpan>,
        remaining: Int,
    ) {
        val request = effect.arrival.request
        val reply = { reply: RequestReply -> handleRunnerEvent(instance, RunnerEvent.Replied(request, reply)) }
        schedule(instance) {
            when {
                engineVersion < effect.arrival.minimumWeightVersion || injectFault(30) -> {
                    reply(RequestReply.NotRun(Refusal.NO_BACKEND_SERVER, 50, "choose", "engine"))
                }

                injectFault(40) -> {
                    reply(RequestReply.MayHaveRun("The engine crashed.", "stream", "engine"))
                }

                remaining == 0 -> {
                    spans[effect.arrival.requestId] = produced
                    reply(RequestReply.Finished("stop", 1, produced, "engine"))
                }

                else -> {
                    val tokens = 1 + random.nextInt(3)
                    val version = engineVersion
                    val last = produced.lastOrNull()
                    val next = if (last?.weightVersion == version) {
                        produced.dropLast(1) + last.copy(tokens = last.tokens + tokens)
                    } else {
                        produced + WeightSpan(version, tokens.toLong())
                    }
                    // Simulates a part dropped because a ring was full; the sample must not be accepted as complete.
                    if (!injectFault(60)) {
                        reply(RequestReply.Chunk("x".repeat(tokens), tokens, version))
                    }
                    generate(instance, effect, next, remaining - 1)
                }
            }
        }
    }

    internal companion object {
        const val NO_CRASH = -1
        const val LEASE_MILLISECONDS = 1_000L
    }
}
