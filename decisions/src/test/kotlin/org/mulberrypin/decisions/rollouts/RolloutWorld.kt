/**
 * Several instances, a store and engines that do what is under way in a random order and fail at random. Everything is
 * drawn from one seed.
 */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.WeightSpan
import kotlin.random.Random

/** One process and what it holds in memory. */
internal class WorldInstance(
    val name: String,
) {
    var incarnation = 1L
    var steps = StepState()
    var runner = RunnerState()
    var pausedUntil = 0L
    val answers = mutableMapOf<Long, (BatchAnswer) -> Unit>()
    val groupCalls = mutableMapOf<Long, (GroupResult) -> Unit>()
}

private class UnderWay(
    val instance: WorldInstance?,
    val incarnation: Long,
    val act: () -> Unit,
)

internal class RolloutWorld(
    seed: Long,
    private val crashAtEffect: Int = NEVER,
) {
    val random = Random(seed)
    val store = FakeStepStore()
    var now = 0L
    var failing = true
    var effectsSeen = 0
    var engineVersion = 1L
    private val instances = listOf("a", "b", "c").map { WorldInstance(it) }
    private val underWay = mutableListOf<UnderWay>()
    private val spans = mutableMapOf<String, List<WeightSpan>>()
    private var nextCall = 1L

    init {
        instances.forEach(::tellInstances)
    }

    fun spansOf(sample: String): List<WeightSpan>? = spans[sample]

    /** Lets one random thing happen. */
    fun act(trainer: FakeTrainer) {
        now += random.nextLong(20)
        when (random.nextInt(12)) {
            0 -> instances.forEach { tick(it) }
            1 -> if (trainer.mayAsk(now, timeoutMilliseconds = if (failing) 400 else 5_000)) ask(trainer)
            2 -> failInstance()
            3 -> changeWeights(trainer)
            else -> actOnMessage()
        }
    }

    private fun failInstance() {
        val instance = instances.random(random)
        if (fails(10)) {
            crash(instance)
        } else if (fails(10)) {
            instance.pausedUntil = now + 2_500
        }
    }

    private fun changeWeights(trainer: FakeTrainer) {
        if (fails(10)) {
            trainer.version++
        }
        engineVersion = maxOf(engineVersion, trainer.version - random.nextLong(2))
    }

    private fun actOnMessage() {
        if (underWay.isNotEmpty()) {
            val message = underWay.removeAt(random.nextInt(underWay.size))
            val instance = message.instance
            when {
                instance == null -> message.act()
                instance.incarnation != message.incarnation -> Unit
                instance.pausedUntil > now -> underWay.add(message)
                else -> message.act()
            }
        }
    }

    private fun post(
        instance: WorldInstance?,
        act: () -> Unit,
    ) {
        underWay.add(UnderWay(instance, instance?.incarnation ?: 0, act))
    }

    private fun fails(oneIn: Int): Boolean = failing && random.nextInt(oneIn) == 0

    private fun tick(instance: WorldInstance) {
        if (instance.pausedUntil <= now) {
            step(instance, StepEvent.Tick)
            run(instance, RunnerEvent.Tick)
        }
    }

    private fun ask(trainer: FakeTrainer) {
        val (numbered, onAnswer) = trainer.nextCall(now)
        val asked = if (random.nextInt(4) == 0) 2 else 1
        repeat(asked) {
            val instance = instances.random(random)
            post(instance) { call(instance, numbered, onAnswer) }
        }
    }

    private fun call(
        instance: WorldInstance,
        numbered: (Long) -> TrainerAsk,
        onAnswer: (BatchAnswer) -> Unit,
    ) {
        val number = nextCall++
        instance.answers[number] = { answer -> if (!fails(10)) post(null) { onAnswer(answer) } }
        step(instance, StepEvent.Asked(numbered(number)))
    }

    private fun crash(instance: WorldInstance) {
        instance.incarnation++
        instance.steps = StepState()
        instance.runner = RunnerState()
        instance.answers.clear()
        instance.groupCalls.clear()
        tellInstances(instance)
    }

    private fun tellInstances(instance: WorldInstance) {
        step(instance, StepEvent.InstancesChanged(instances.associate { it.name to it.incarnation }))
    }

    private fun step(
        instance: WorldInstance,
        event: StepEvent,
    ) {
        val policy = StepPolicy(instance.name, instance.incarnation, 2, 10_000, 0.2, 6, LEASE_MILLISECONDS, 300)
        val transition = stepDecision(policy)(instance.steps, event, now)
        instance.steps = transition.state
        val incarnation = instance.incarnation
        for (effect in transition.effects) {
            if (++effectsSeen == crashAtEffect || fails(300)) {
                crash(instance)
            }
            if (instance.incarnation != incarnation) {
                return
            }
            carryOut(instance, effect)
        }
    }

    private fun carryOut(
        instance: WorldInstance,
        effect: StepEffect,
    ) {
        when (effect) {
            is StepEffect.Answer -> instance.answers.remove(effect.ask)?.invoke(effect.answer)

            is StepEffect.ReadView -> post(null) {
                val view = if (fails(8)) null else store.readView(effect.key)
                post(instance) { step(instance, StepEvent.ViewRead(effect.key, view, effect.ask)) }
            }

            is StepEffect.Open -> storeWrite(
                { store.open(effect.opening) },
                { StoreResult.FAILED to null },
            ) { outcome ->
                val ended = StepEvent.OpeningEnded(effect.opening.key, outcome.first, outcome.second)
                post(instance) { step(instance, ended) }
            }

            is StepEffect.Write -> storeWrite({ store.write(effect.write) }, { StoreResult.FAILED }) { result ->
                post(instance) { step(instance, StepEvent.WriteEnded(effect.write, result)) }
            }

            is StepEffect.Renew -> storeWrite({ store.renew(effect.heartbeat) }, {}) {}

            is StepEffect.Release -> storeWrite({ store.release(effect.key, effect.lease) }, {}) {}

            is StepEffect.PassOn -> passOn(instance, effect)

            is StepEffect.AssignGroup -> assign(instance, effect)

            is StepEffect.Explain -> Unit
        }
    }

    /** Applies a write now, never, now without an answer, or later without an answer. */
    private fun <Result> storeWrite(
        apply: () -> Result,
        failed: () -> Result,
        onResult: (Result) -> Unit,
    ) {
        post(null) {
            when {
                fails(10) -> {
                    onResult(failed())
                }

                fails(10) -> {
                    apply()
                    onResult(failed())
                }

                fails(10) -> {
                    onResult(failed())
                    post(null) { apply() }
                }

                else -> {
                    onResult(apply())
                }
            }
        }
    }

    private fun passOn(
        instance: WorldInstance,
        effect: StepEffect.PassOn,
    ) {
        val holder = instances.first { it.name == effect.instance }
        val ended = { answer: BatchAnswer? ->
            post(instance) { step(instance, StepEvent.PassOnEnded(effect.ask, answer)) }
        }
        if (fails(8) || holder.pausedUntil > now) {
            ended(null)
        } else {
            post(holder) { call(holder, { TrainerAsk.NextBatch(it, effect.request, passedOn = true) }, { ended(it) }) }
        }
    }

    private fun assign(
        holder: WorldInstance,
        effect: StepEffect.AssignGroup,
    ) {
        val assignment = effect.assignment
        val runner = instances.first { it.name == effect.instance }
        val ended = { result: GroupResult? ->
            val event = StepEvent.GroupEnded(
                StepKey(assignment.team, assignment.trainer, assignment.step),
                assignment.fencingNumber,
                assignment.group.group,
                assignment.attempt,
                result,
            )
            repeat(if (fails(10)) 2 else 1) { post(holder) { step(holder, event) } }
        }
        val incarnation = runner.incarnation
        post(null) {
            val isLost = fails(10) || runner.incarnation != incarnation
            if (isLost && assignment.change == GroupChange.START) {
                ended(null)
            }
            if (!isLost || fails(2)) {
                val call = nextCall++
                runner.groupCalls[call] = { ended(if (fails(10)) null else it) }
                post(runner) { run(runner, RunnerEvent.Assigned(call, assignment)) }
                watchForCrash(runner, call) { ended(null) }
            }
        }
    }

    /** Fails a call whose instance has crashed. */
    private fun watchForCrash(
        runner: WorldInstance,
        call: Long,
        onCrash: () -> Unit,
    ) {
        val incarnation = runner.incarnation
        post(null) {
            when {
                runner.incarnation != incarnation -> onCrash()
                call in runner.groupCalls -> watchForCrash(runner, call, onCrash)
            }
        }
    }

    private fun run(
        instance: WorldInstance,
        event: RunnerEvent,
    ) {
        val policy = RunnerPolicy(sampleLimit = 6, sampleFailureLimit = 3, longestRequestMilliseconds = 60_000)
        val transition = runnerDecision(policy)(instance.runner, event, now)
        instance.runner = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is RunnerEffect.Submit -> generate(instance, effect, emptyList(), left = 1 + random.nextInt(6))

                is RunnerEffect.Cancel -> Unit

                is RunnerEffect.AnswerGroup -> instance.groupCalls.remove(effect.call)?.invoke(effect.result)

                is RunnerEffect.Score -> post(instance) {
                    run(instance, RunnerEvent.Scored(effect.request, if (fails(20)) null else 1.0))
                }
            }
        }
    }

    private fun generate(
        instance: WorldInstance,
        effect: RunnerEffect.Submit,
        produced: List<WeightSpan>,
        left: Int,
    ) {
        val request = effect.arrival.request
        val reply = { reply: RequestReply -> run(instance, RunnerEvent.Replied(request, reply)) }
        post(instance) {
            when {
                engineVersion < effect.arrival.minimumWeightVersion || fails(30) -> {
                    reply(RequestReply.NotRun(Refusal.NO_BACKEND_SERVER, 50, "choose", "engine"))
                }

                fails(40) -> {
                    reply(RequestReply.MayHaveRun("The engine crashed.", "stream", "engine"))
                }

                left == 0 -> {
                    spans[effect.arrival.name] = produced
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
                    // A part that a full ring dropped must not end in a sample that is not whole.
                    if (!fails(60)) {
                        reply(RequestReply.Part("x".repeat(tokens), tokens, version))
                    }
                    generate(instance, effect, next, left - 1)
                }
            }
        }
    }

    internal companion object {
        const val NEVER = -1
        const val LEASE_MILLISECONDS = 1_000L
    }
}
