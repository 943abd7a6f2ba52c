/**
 * Discrete-event simulation of instances that run requests with idempotency keys. The simulated table service loses
 * responses, applies commits late and is unavailable at times; callers repeat requests with a small set of keys
 * on any instance.
 */
package org.mulberrypin.decisions.attempts

import org.mulberrypin.schema.generated.AttemptRecord
import java.util.PriorityQueue
import kotlin.random.Random

private class AttemptInstance(
    val name: String,
    val clockOffsetMilliseconds: Long,
) {
    var incarnation = 1
    var state = AttemptsState("$name/1")
}

internal class AttemptSimulation(
    seed: Long,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val rows = HashMap<String, Pair<Long, AttemptRecord>>()
    private val submitted = HashMap<Long, AttemptRequest>()
    private val instances = List(3) { AttemptInstance("instance-$it", random.nextLong(-1_000, 1_000)) }
    private val startWallMilliseconds = PERIOD_MILLISECONDS * (1 + random.nextLong(100)) - random.nextLong(60_000)
    private var isStoreUp = true
    private var nowMilliseconds = 0L
    private var nextRequest = 0L
    val executions = HashMap<Pair<String, String>, MutableList<String>>()
    val outcomes = mutableListOf<AttemptOutcome>()

    fun run(milliseconds: Long) {
        repeatEvery(100) {
            instances.forEach { dispatch(it, AttemptEvent.Tick(wallMilliseconds(it), random.nextLong(1_000))) }
        }
        repeatEvery(60) { submitRequest() }
        repeatEvery(1_000) { if (random.nextInt(4) == 0) isStoreUp = !isStoreUp }
        repeatEvery(2_000) { if (random.nextInt(3) == 0) crash(instances.random(random)) }
        while (queue.peek().first <= milliseconds) {
            val (time, action) = queue.poll()
            nowMilliseconds = time
            action()
        }
    }

    private fun wallMilliseconds(instance: AttemptInstance): Long =
        startWallMilliseconds + nowMilliseconds + instance.clockOffsetMilliseconds

    private fun submitRequest() {
        val team = "team-${random.nextInt(2)}"
        val attempt =
            AttemptRequest(nextRequest++, team, "key-${random.nextInt(40)}", "content-${random.nextInt(12) / 11}")
        submitted[attempt.request] = attempt
        val instance = instances.random(random)
        dispatch(
            instance,
            AttemptEvent.AttemptRequested(attempt, "$team-${attempt.idempotencyKey}", wallMilliseconds(instance)),
        )
    }

    private fun crash(instance: AttemptInstance) {
        instance.incarnation++
        instance.state = AttemptsState("${instance.name}/${instance.incarnation}")
    }

    private fun dispatch(
        instance: AttemptInstance,
        event: AttemptEvent,
    ) {
        val transition = decideAttempts(instance.state, event, nowMilliseconds)
        instance.state = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is AttemptEffect.Commit -> commit(instance, effect)

                is AttemptEffect.ReportOutcome -> handleOutcome(
                    instance,
                    submitted.getValue(effect.request),
                    effect.outcome,
                )

                is AttemptEffect.DeleteExpired -> rows.keys.removeIf { it.startsWith(effect.prefix) }
            }
        }
    }

    /** Runs a permitted request later; the instance may crash before it runs, or before the result is recorded. */
    private fun handleOutcome(
        instance: AttemptInstance,
        attempt: AttemptRequest,
        outcome: AttemptOutcome,
    ) {
        outcomes.add(outcome)
        val key = attempt.team to attempt.idempotencyKey
        when (outcome) {
            is AttemptOutcome.AlreadyCompleted -> {
                check(listOf(outcome.body) == executions[key]) { "The stored response belongs to another execution." }
            }

            is AttemptOutcome.MayRun -> {
                scheduleFinish(instance, attempt, runs = random.nextInt(3) != 0)
            }

            else -> {}
        }
    }

    private fun scheduleFinish(
        instance: AttemptInstance,
        attempt: AttemptRequest,
        runs: Boolean,
    ) {
        val incarnation = instance.incarnation
        schedule(random.nextLong(500)) {
            if (instance.incarnation != incarnation) return@schedule
            if (runs) {
                executions
                    .getOrPut(attempt.team to attempt.idempotencyKey) { mutableListOf() }
                    .add("${attempt.request}")
            }
            val result = if (runs) {
                AttemptResult.Answered(200, "text/plain", "${attempt.request}")
            } else {
                AttemptResult.NotRun
            }
            schedule(random.nextLong(500)) {
                val event = AttemptEvent.Finished(AttemptCompletion(attempt.request, result))
                if (instance.incarnation == incarnation) dispatch(instance, event)
            }
        }
    }

    private fun commit(
        instance: AttemptInstance,
        effect: AttemptEffect.Commit,
    ) {
        val incarnation = instance.incarnation
        val responseLost = random.nextInt(5) == 0
        val respond = { event: AttemptEvent ->
            schedule(randomDelay()) { if (instance.incarnation == incarnation) dispatch(instance, event) }
        }
        if (responseLost) respond(AttemptEvent.CommitFailed(effect.number, mayHaveCommitted = true))
        schedule(if (responseLost) random.nextLong(8_000) else randomDelay()) {
            val event =
                if (isStoreUp) apply(effect) else AttemptEvent.CommitFailed(effect.number, mayHaveCommitted = false)
            if (!responseLost) respond(event)
        }
    }

    private fun apply(effect: AttemptEffect.Commit): AttemptEvent {
        val conditions = effect.writes.flatMap { it.conditions.entries }
        val violated = conditions.filter { (key, version) -> (rows[key]?.first ?: 0) != version }
        if (violated.isNotEmpty()) {
            val conflicting =
                violated.mapNotNull { (key, _) -> rows[key]?.let { AttemptRow(key, it.first, it.second) } }
            return AttemptEvent.Conflicted(effect.number, conflicting)
        }
        effect.writes.forEach { rows[it.target] = (rows[it.target]?.first ?: 0) + 1 to it.record }
        return AttemptEvent.Committed(effect.number)
    }

    private fun randomDelay(): Long = 1 + random.nextLong(if (random.nextInt(20) == 0) 12_000 else 30)

    private fun schedule(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        queue.add(nowMilliseconds + milliseconds to action)
    }

    private fun repeatEvery(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        schedule(milliseconds) {
            action()
            repeatEvery(milliseconds, action)
        }
    }
}
