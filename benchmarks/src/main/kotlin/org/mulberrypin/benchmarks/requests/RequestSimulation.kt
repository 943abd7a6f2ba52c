package org.mulberrypin.benchmarks.requests

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestBook
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.requests.requestDecision
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.RoutePriority
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Drives the request decisions of several instances with simulated engines and arrivals drawn by chance. Load reports
 * arrive every second, and each instance hears of them at its own moment.
 */
internal class RequestSimulation(
    private val scenario: RequestScenario,
    private val random: Random,
) {
    private data class Timed(
        val milliseconds: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val decide = requestDecision(scenario.policies)
    private val agenda = PriorityQueue(compareBy<Timed>({ it.milliseconds }, { it.order }))
    private val books = Array(scenario.instances) { startBook(scenario) }
    private val engines = Array(scenario.engines) { newEngine() }
    private val arrivals = HashMap<Long, Pair<Long, TeamLoad>>()
    private val jobs = HashMap<Pair<Long, Int>, Pair<Int, EngineJob>>()
    private var nowMilliseconds = 0L
    private var orders = 0L
    private var requests = 0L
    private val figures = RequestFigures(scenario.loads.associate { it.team to newHistogram() })

    fun run(): RequestFigures {
        scenario.loads.forEach(::scheduleArrival)
        repeat(scenario.instances) { instance -> later(random.nextLong(SECOND)) { report(instance) } }
        while (agenda.isNotEmpty() && nowMilliseconds < scenario.durationMilliseconds) {
            val next = agenda.poll()
            nowMilliseconds = next.milliseconds
            next.action()
        }
        return figures
    }

    private fun later(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        agenda.add(Timed(nowMilliseconds + milliseconds, orders++, action))
    }

    private fun scheduleArrival(load: TeamLoad) {
        val gapMilliseconds = -ln(1.0 - random.nextDouble()) * SECOND / load.perSecond
        later(gapMilliseconds.toLong()) {
            arrive(load)
            scheduleArrival(load)
        }
    }

    private fun arrive(load: TeamLoad) {
        val request = ++requests
        arrivals[request] = nowMilliseconds to load
        val isRollout = load.isRollout && scenario.priorities
        val arrival =
            RequestArrival(
                request = request,
                name = "",
                route = if (isRollout) ROLLOUT_ROUTE else INTERACTIVE_ROUTE,
                team = load.team,
                keyName = load.team,
                priority = if (isRollout) RoutePriority.ROLLOUT else RoutePriority.INTERACTIVE,
                contentDigest = "$request",
                prefixDigest = 1 + random.nextLong(scenario.prefixes.toLong()),
                repeatable = true,
                expectedTokens = load.tokens.toLong(),
                minimumWeightVersion = 0,
                deadlineMilliseconds = Long.MAX_VALUE,
                seed = random.nextLong(),
            )
        apply(random.nextInt(scenario.instances), RequestEvent.Arrived(arrival))
    }

    private fun report(instance: Int) {
        engines.forEachIndexed { number, engine ->
            val load = EngineLoad(running = engine.runningCount, waiting = engine.waitingCount)
            apply(instance, RequestEvent.LoadReported("engine-$number", load))
        }
        apply(instance, RequestEvent.Ticked)
        later(SECOND) { report(instance) }
    }

    private fun apply(
        instance: Int,
        event: RequestEvent,
    ) {
        val transition = decide(books[instance], event, nowMilliseconds)
        books[instance] = transition.state
        transition.effects.forEach { carryOut(instance, it) }
    }

    private fun carryOut(
        instance: Int,
        effect: RequestEffect,
    ) {
        when (effect) {
            is RequestEffect.Dispatch -> dispatch(instance, effect)
            is RequestEffect.CancelAttempt -> cancel(effect)
            is RequestEffect.Reply -> if (effect.reply is RequestReply.NotRun) figures.refused++
            else -> Unit
        }
    }

    private fun dispatch(
        instance: Int,
        effect: RequestEffect.Dispatch,
    ) {
        val entry = books[instance].entries.getValue(effect.request)
        val load = arrivals.getValue(effect.request).second
        val engine = effect.server.removePrefix("engine-").toInt()
        val job =
            EngineJob(
                instance = instance,
                request = effect.request,
                attempt = effect.attempt,
                tokens = load.tokens,
                prefix = entry.arrival.prefixDigest,
                priority = entry.arrival.priority.ordinal,
            )
        jobs[effect.request to effect.attempt] = engine to job
        later(HOP_MILLISECONDS) { if (jobs.containsKey(effect.request to effect.attempt)) engines[engine].accept(job) }
    }

    private fun cancel(effect: RequestEffect.CancelAttempt) {
        val (engine, job) = jobs.remove(effect.request to effect.attempt) ?: return
        engines[engine].cancel(job)
        figures.moved++
    }

    private fun newEngine(): SimulatedEngine =
        SimulatedEngine(
            slots = scenario.slots,
            cachedPrefixes = scenario.cachedPrefixes,
            later = ::later,
            started = { job, isCached ->
                figures.started++
                if (isCached) figures.cached++
                val part = RequestReply.Part("", 1, 1)
                apply(job.instance, RequestEvent.PartArrived(job.request, job.attempt, part))
            },
            finished = ::finish,
        )

    private fun finish(job: EngineJob) {
        jobs.remove(job.request to job.attempt)
        val (arrivedMilliseconds, load) = arrivals.remove(job.request) ?: return
        figures.latencies.getValue(load.team).recordValue(nowMilliseconds - arrivedMilliseconds)
        apply(job.instance, RequestEvent.AttemptFinished(job.request, job.attempt, "stop", 0))
    }

    private fun newHistogram() = Histogram(LONGEST_MILLISECONDS, 2)

    private companion object {
        private const val SECOND = 1_000L
        private const val HOP_MILLISECONDS = 1L
        private const val LONGEST_MILLISECONDS = 3_600_000L
    }
}
