/**
 * Instances that run requests under idempotency keys, in simulated time, with a table service that loses answers,
 * applies commits late and is down at times. Callers send a request again, to any instance, until it is answered.
 */
package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptRecord
import java.util.PriorityQueue
import kotlin.random.Random

private class AttemptInstance(
    val name: String,
    val wallDifference: Long,
) {
    var incarnation = 1
    var state = AttemptsState("$name/1")
}

internal class AttemptWorld(
    seed: Long,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val rows = HashMap<String, Pair<Long, AttemptRecord>>()
    private val begins = HashMap<Long, AttemptBegin>()
    private val instances = List(3) { AttemptInstance("instance-$it", random.nextLong(-1_000, 1_000)) }
    private val start = PERIOD_MILLISECONDS * (1 + random.nextLong(100)) - random.nextLong(60_000)
    private var storeUp = true
    private var now = 0L
    private var requests = 0L
    val executions = HashMap<Pair<String, String>, MutableList<String>>()
    val outcomes = mutableListOf<AttemptOutcome>()

    fun run(milliseconds: Long) {
        every(100) { instances.forEach { dispatch(it, AttemptEvent.Tick(wall(it), random.nextLong(1_000))) } }
        every(60) { send() }
        every(1_000) { if (random.nextInt(4) == 0) storeUp = !storeUp }
        every(2_000) { if (random.nextInt(3) == 0) crash(instances.random(random)) }
        while (queue.peek().first <= milliseconds) {
            val (time, action) = queue.poll()
            now = time
            action()
        }
    }

    private fun wall(instance: AttemptInstance): Long = start + now + instance.wallDifference

    private fun send() {
        val team = "team-${random.nextInt(2)}"
        val begin = AttemptBegin(requests++, team, "key-${random.nextInt(40)}", "content-${random.nextInt(12) / 11}")
        begins[begin.request] = begin
        val instance = instances.random(random)
        dispatch(instance, AttemptEvent.Begun(begin, "$team-${begin.idempotencyKey}", wall(instance)))
    }

    private fun crash(instance: AttemptInstance) {
        instance.incarnation++
        instance.state = AttemptsState("${instance.name}/${instance.incarnation}")
    }

    private fun dispatch(
        instance: AttemptInstance,
        event: AttemptEvent,
    ) {
        val transition = decideAttempts(instance.state, event, now)
        instance.state = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is AttemptEffect.Commit -> commit(instance, effect)
                is AttemptEffect.Answer -> answer(instance, begins.getValue(effect.request), effect.outcome)
                is AttemptEffect.Forget -> rows.keys.removeIf { it.startsWith(effect.prefix) }
            }
        }
    }

    /** The instance may crash before it sends the request, or after that and before it records the answer. */
    private fun answer(
        instance: AttemptInstance,
        begin: AttemptBegin,
        outcome: AttemptOutcome,
    ) {
        outcomes.add(outcome)
        val key = begin.team to begin.idempotencyKey
        when (outcome) {
            is AttemptOutcome.AlreadyAnswered -> {
                check(listOf(outcome.body) == executions[key]) { "Another answer" }
            }

            is AttemptOutcome.MayRun -> {
                finishLater(instance, begin, runs = random.nextInt(3) != 0)
            }

            else -> {}
        }
    }

    private fun finishLater(
        instance: AttemptInstance,
        begin: AttemptBegin,
        runs: Boolean,
    ) {
        val incarnation = instance.incarnation
        after(random.nextLong(500)) {
            if (instance.incarnation != incarnation) return@after
            if (runs) {
                executions.getOrPut(begin.team to begin.idempotencyKey) { mutableListOf() }.add("${begin.request}")
            }
            val result = if (runs) {
                AttemptResult.Answered(
                    200,
                    "text/plain",
                    "${begin.request}",
                )
            } else {
                AttemptResult.NotRun
            }
            after(random.nextLong(500)) {
                val event = AttemptEvent.Finished(AttemptFinish(begin.request, result))
                if (instance.incarnation == incarnation) dispatch(instance, event)
            }
        }
    }

    private fun commit(
        instance: AttemptInstance,
        effect: AttemptEffect.Commit,
    ) {
        val incarnation = instance.incarnation
        val lost = random.nextInt(5) == 0
        val answer = { event: AttemptEvent ->
            after(delay()) { if (instance.incarnation == incarnation) dispatch(instance, event) }
        }
        if (lost) answer(AttemptEvent.CommitFailed(effect.number, uncertain = true))
        after(if (lost) random.nextLong(8_000) else delay()) {
            val event = if (storeUp) apply(effect) else AttemptEvent.CommitFailed(effect.number, uncertain = false)
            if (!lost) answer(event)
        }
    }

    private fun apply(effect: AttemptEffect.Commit): AttemptEvent {
        val conditions = effect.operations.flatMap { it.conditions.entries }
        val broken = conditions.filter { (key, version) -> (rows[key]?.first ?: 0) != version }
        if (broken.isNotEmpty()) {
            val found = broken.mapNotNull { (key, _) -> rows[key]?.let { AttemptRow(key, it.first, it.second) } }
            return AttemptEvent.Conflicted(effect.number, found)
        }
        effect.operations.forEach { rows[it.target] = (rows[it.target]?.first ?: 0) + 1 to it.record }
        return AttemptEvent.Committed(effect.number)
    }

    private fun delay(): Long = 1 + random.nextLong(if (random.nextInt(20) == 0) 12_000 else 30)

    private fun after(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        queue.add(now + milliseconds to action)
    }

    private fun every(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        after(milliseconds) {
            action()
            every(milliseconds, action)
        }
    }
}
