package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan
import kotlin.random.Random

/** A random event sequence for the request decisions, with simulated backend servers that record what they ran. */
internal class RequestHistory(
    private val random: Random,
) {
    var state = RequestFixtures.state()
    val arrived = HashSet<Long>()
    val disconnected = HashSet<Long>()
    val nonRepeatable = HashSet<Long>()
    val executionCounts = HashMap<Long, Int>()
    val completed = HashSet<Long>()
    val finalReplies = HashMap<Long, RequestReply>()
    val finalReplyCounts = HashMap<Long, Int>()

    private data class Running(
        val dispatch: RequestEffect.Dispatch,
        val started: Boolean,
    )

    private val running = HashMap<Long, Running>()
    private val chunks = HashMap<Long, MutableList<RequestReply.Chunk>>()
    private var nowMilliseconds = 0L
    private var nextRequest = 0L
    private var keysWithdrawn = false

    fun run() {
        repeat(STEP_COUNT) { step() }
        while (state.entries.isNotEmpty()) {
            nowMilliseconds += DRAIN_STEP_MILLISECONDS
            apply(RequestEvent.Tick)
        }
    }

    /** Returns the weight-version spans of the chunks delivered to the caller. */
    fun deliveredSpans(request: Long): List<WeightSpan> =
        chunks[request].orEmpty().fold(emptyList()) { spans, chunk ->
            spans.extendedBy(chunk.weightVersion, chunk.tokens.toLong())
        }

    private fun step() {
        nowMilliseconds += random.nextLong(MAX_STEP_MILLISECONDS)
        when (random.nextInt(STEP_KINDS)) {
            0, 1, 2 -> submitRequest()
            3 -> disconnectCaller()
            4 -> breakRandomAttempt(AttemptEnding.NOT_SENT)
            5 -> breakRandomAttempt(AttemptEnding.REFUSED)
            6 -> breakRandomAttempt(AttemptEnding.CUT)
            7 -> breakRandomAttempt(AttemptEnding.FAILED)
            8, 9, 10, 11 -> sendChunk()
            12, 13 -> finishRandomAttempt()
            14 -> sendStaleEvents()
            15 -> if (random.nextInt(KEY_WITHDRAWAL_ODDS) == 0) withdrawKey() else apply(RequestEvent.Tick)
            else -> apply(RequestEvent.Tick)
        }
    }

    private fun submitRequest() {
        val request = ++nextRequest
        val route = listOf("sorter", "rollout", "orders").random(random)
        val team = listOf("carvers", "ledger").random(random)
        val content = "content-${random.nextInt(CONTENT_COUNT)}"
        arrived.add(request)
        if (route == "orders") nonRepeatable.add(request)
        apply(RequestEvent.RequestSubmitted(RequestFixtures.arrival(request, route, team, content)))
    }

    private fun disconnectCaller() {
        val request = state.entries.keys.randomOrNull(random) ?: return
        disconnected.add(request)
        apply(RequestEvent.CallerDisconnected(request))
    }

    private fun breakRandomAttempt(ending: AttemptEnding) {
        val attempt = running.values.randomOrNull(random) ?: return
        val endsNotRun = ending == AttemptEnding.NOT_SENT || ending == AttemptEnding.REFUSED
        if (endsNotRun && attempt.started) return
        if (!endsNotRun) markStarted(attempt)
        running.remove(attempt.dispatch.request)
        apply(RequestEvent.AttemptFailed(attempt.dispatch.request, attempt.dispatch.attempt, ending, "$ending."))
    }

    private fun sendChunk() {
        val attempt = running.values.randomOrNull(random) ?: return
        markStarted(attempt)
        val chunk =
            RequestReply.Chunk(
                "text",
                tokens = random.nextInt(4),
                weightVersion = 1 + nowMilliseconds / VERSION_MILLISECONDS,
            )
        apply(RequestEvent.ChunkReceived(attempt.dispatch.request, attempt.dispatch.attempt, chunk))
    }

    private fun finishRandomAttempt() {
        val attempt = running.values.randomOrNull(random) ?: return
        markStarted(attempt)
        running.remove(attempt.dispatch.request)
        completed.add(attempt.dispatch.request)
        apply(RequestEvent.AttemptFinished(attempt.dispatch.request, attempt.dispatch.attempt, "stop", 10))
    }

    /** Delivers events of an earlier attempt, which must be ignored. */
    private fun sendStaleEvents() {
        val request = random.nextLong(nextRequest + 1)
        val attempt = running[request]?.dispatch?.attempt ?: 1
        apply(RequestEvent.AttemptFinished(request, attempt - 1, "stop", 10))
        apply(RequestEvent.AttemptFailed(request, attempt - 1, AttemptEnding.CUT, "late."))
    }

    private fun withdrawKey() {
        if (keysWithdrawn) return
        keysWithdrawn = true
        val next = RequestFixtures.configuration
        apply(RequestEvent.ConfigurationChanged(next.copy(version = 2, keys = next.keys.drop(1))))
    }

    private fun markStarted(attempt: Running) {
        if (attempt.started) return
        val request = attempt.dispatch.request
        executionCounts.merge(request, 1, Int::plus)
        running[request] = attempt.copy(started = true)
    }

    private fun apply(event: RequestEvent) {
        val transition = RequestFixtures.decide(state, event, nowMilliseconds)
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.Dispatch -> dispatch(effect)
            is RequestEffect.CancelAttempt -> cancel(effect)
            is RequestEffect.Reply -> reply(effect)
            else -> Unit
        }
    }

    private fun dispatch(effect: RequestEffect.Dispatch) {
        check(effect.request !in running) { "Request ${effect.request} has two attempts in flight at the same time." }
        running[effect.request] = Running(effect, started = false)
        if (random.nextBoolean()) markStarted(running.getValue(effect.request))
    }

    /** A cancelled attempt may still have reached the backend server. */
    private fun cancel(effect: RequestEffect.CancelAttempt) {
        running[effect.request]?.let { if (random.nextBoolean()) markStarted(it) }
        running.remove(effect.request)
    }

    private fun reply(effect: RequestEffect.Reply) {
        when (val reply = effect.reply) {
            is RequestReply.Chunk -> {
                chunks.getOrPut(effect.request) { ArrayList() }.add(reply)
            }

            else -> {
                finalReplies[effect.request] = reply
                finalReplyCounts.merge(effect.request, 1, Int::plus)
            }
        }
    }

    private companion object {
        private const val STEP_COUNT = 120
        private const val STEP_KINDS = 17
        private const val MAX_STEP_MILLISECONDS = 120L
        private const val DRAIN_STEP_MILLISECONDS = 1_000L
        private const val VERSION_MILLISECONDS = 1_000L
        private const val CONTENT_COUNT = 12
        private const val KEY_WITHDRAWAL_ODDS = 4
    }
}
