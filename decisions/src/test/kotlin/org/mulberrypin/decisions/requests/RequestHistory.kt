package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan
import kotlin.random.Random

/** One random history of a request duty, with backend servers that know the truth about what they ran. */
internal class RequestHistory(
    private val random: Random,
) {
    var book = RequestFixtures.book()
    val arrived = HashSet<Long>()
    val left = HashSet<Long>()
    val notRepeatable = HashSet<Long>()
    val ran = HashMap<Long, Int>()
    val endedProperly = HashSet<Long>()
    val finalReplies = HashMap<Long, RequestReply>()
    val finalReplyCounts = HashMap<Long, Int>()

    private data class Running(
        val dispatch: RequestEffect.Dispatch,
        val started: Boolean,
    )

    private val running = HashMap<Long, Running>()
    private val parts = HashMap<Long, MutableList<RequestReply.Part>>()
    private var nowMilliseconds = 0L
    private var nextRequest = 0L
    private var keysWithdrawn = false

    fun play() {
        repeat(STEPS) { step() }
        while (book.entries.isNotEmpty()) {
            nowMilliseconds += DRAIN_STEP_MILLISECONDS
            apply(RequestEvent.Ticked)
        }
    }

    /** The spans that the parts handed to the caller add up to. */
    fun spansTold(request: Long): List<WeightSpan> =
        parts[request].orEmpty().fold(emptyList()) { spans, part ->
            spans.extendedBy(part.weightVersion, part.tokens.toLong())
        }

    private fun step() {
        nowMilliseconds += random.nextLong(STEP_MILLISECONDS)
        when (random.nextInt(KINDS_OF_STEPS)) {
            0, 1, 2 -> arrive()
            3 -> leave()
            4 -> endRandomAttempt(AttemptEnding.NOT_SENT)
            5 -> endRandomAttempt(AttemptEnding.REFUSED)
            6 -> endRandomAttempt(AttemptEnding.CUT)
            7 -> endRandomAttempt(AttemptEnding.FAILED)
            8, 9, 10, 11 -> sendPart()
            12, 13 -> finishRandomAttempt()
            14 -> repeatOldEvent()
            15 -> if (random.nextInt(RARE) == 0) withdrawKey() else apply(RequestEvent.Ticked)
            else -> apply(RequestEvent.Ticked)
        }
    }

    private fun arrive() {
        val request = ++nextRequest
        val route = listOf("sorter", "rollout", "orders").random(random)
        val team = listOf("carvers", "ledger").random(random)
        val content = "content-${random.nextInt(CONTENTS)}"
        arrived.add(request)
        if (route == "orders") notRepeatable.add(request)
        apply(RequestEvent.Arrived(RequestFixtures.arrival(request, route, team, content)))
    }

    private fun leave() {
        val request = book.entries.keys.randomOrNull(random) ?: return
        left.add(request)
        apply(RequestEvent.CallerLeft(request))
    }

    private fun endRandomAttempt(ending: AttemptEnding) {
        val attempt = running.values.randomOrNull(random) ?: return
        val claimsNotRun = ending == AttemptEnding.NOT_SENT || ending == AttemptEnding.REFUSED
        if (claimsNotRun && attempt.started) return
        if (!claimsNotRun) start(attempt)
        running.remove(attempt.dispatch.request)
        apply(RequestEvent.AttemptBroke(attempt.dispatch.request, attempt.dispatch.attempt, ending, "$ending."))
    }

    private fun sendPart() {
        val attempt = running.values.randomOrNull(random) ?: return
        start(attempt)
        val part = RequestReply.Part("text", tokens = random.nextInt(4), weightVersion = 1 + nowMilliseconds / VERSION)
        apply(RequestEvent.PartArrived(attempt.dispatch.request, attempt.dispatch.attempt, part))
    }

    private fun finishRandomAttempt() {
        val attempt = running.values.randomOrNull(random) ?: return
        start(attempt)
        running.remove(attempt.dispatch.request)
        endedProperly.add(attempt.dispatch.request)
        apply(RequestEvent.AttemptFinished(attempt.dispatch.request, attempt.dispatch.attempt, "stop", 10))
    }

    /** An event of an attempt that was cancelled or ended long ago. */
    private fun repeatOldEvent() {
        val request = random.nextLong(nextRequest + 1)
        val attempt = running[request]?.dispatch?.attempt ?: 1
        apply(RequestEvent.AttemptFinished(request, attempt - 1, "stop", 10))
        apply(RequestEvent.AttemptBroke(request, attempt - 1, AttemptEnding.CUT, "late."))
    }

    private fun withdrawKey() {
        if (keysWithdrawn) return
        keysWithdrawn = true
        val next = RequestFixtures.configuration
        apply(RequestEvent.ConfigurationChanged(next.copy(version = 2, keys = next.keys.drop(1))))
    }

    private fun start(attempt: Running) {
        if (attempt.started) return
        val request = attempt.dispatch.request
        ran.merge(request, 1, Int::plus)
        running[request] = attempt.copy(started = true)
    }

    private fun apply(event: RequestEvent) {
        val transition = RequestFixtures.decide(book, event, nowMilliseconds)
        book = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.Dispatch -> dispatch(effect)
            is RequestEffect.CancelAttempt -> cancel(effect)
            is RequestEffect.Reply -> reply(effect)
            else -> Unit
        }
    }

    private fun dispatch(effect: RequestEffect.Dispatch) {
        check(effect.request !in running) { "Request ${effect.request} runs on two backend servers." }
        running[effect.request] = Running(effect, started = false)
        if (random.nextBoolean()) start(running.getValue(effect.request))
    }

    /** A cancelled attempt may have reached the backend server all the same. */
    private fun cancel(effect: RequestEffect.CancelAttempt) {
        running[effect.request]?.let { if (random.nextBoolean()) start(it) }
        running.remove(effect.request)
    }

    private fun reply(effect: RequestEffect.Reply) {
        when (val reply = effect.reply) {
            is RequestReply.Part -> {
                parts.getOrPut(effect.request) { ArrayList() }.add(reply)
            }

            else -> {
                finalReplies[effect.request] = reply
                finalReplyCounts.merge(effect.request, 1, Int::plus)
            }
        }
    }

    private companion object {
        private const val STEPS = 120
        private const val KINDS_OF_STEPS = 17
        private const val STEP_MILLISECONDS = 120L
        private const val DRAIN_STEP_MILLISECONDS = 1_000L
        private const val VERSION = 1_000L
        private const val CONTENTS = 12
        private const val RARE = 4
    }
}
