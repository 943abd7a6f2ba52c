package org.mulberrypin.benchmarks.requests

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.requests.RequestState
import org.mulberrypin.decisions.requests.requestDecision
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.RoutePriority
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Runs the request decisions of several instances with simulated engines and random arrivals. Each instance receives
 * the engines' load once per second, at its own offset.
 */
internal class RequestSimulation(
    private val scenario: RequestScenario,
    private val random: Random,
) {
    private data class Scheduled(
        val milliseconds: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val decide = requestDecision(scenario.policies)
    private val eventQueue = PriorityQueue(compareBy<Scheduled>({ it.milliseconds }, { it.sequence }))
    private val states = Array(scenario.instances) { initialRequestState(scenario) }
    private val engines = Array(scenario.engines) { newEngine() }
    private val arrivals = HashMap<Long, Pair<Long, TeamLoad>>()
    private val jobs = HashMap<Pair<Long, Int>, Pair<Int, EngineJob>>()
    private var nowMilliseconds = 0L
    private var nextSequence = 0L
    private var lastRequest = 0L
    private val figures = RequestFigures(scenario.loads.associate { it.team to newHistogram() })

    fun run(): RequestFigures {
        scenario.loads.forEach(::scheduleArrival)
        repeat(scenario.instances) { instance ->
            schedule(random.nextLong(MILLISECONDS_PER_SECOND)) { reportLoad(instance) }
        }
        while (eventQueue.isNotEmpty() && nowMilliseconds < scenario.durationMilliseconds) {
            val next = eventQueue.poll()
            nowMilliseconds = next.milliseconds
            next.action()
        }
        return figures
    }

    private fun schedule(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        eventQueue.add(Scheduled(nowMilliseconds + milliseconds, nextSequence++, action))
    }

    private fun scheduleArrival(load: TeamLoad) {
        val gapMilliseconds = -ln(1.0 - random.nextDouble()) * MILLISECONDS_PER_SECOND / load.perSecond
        schedule(gapMilliseconds.toLong()) {
            arrive(load)
            scheduleArrival(load)
        }
    }

    private fun arrive(load: TeamLoad) {
        val request = ++lastRequest
        arrivals[request] = nowMilliseconds to load
        val isRollout = load.isRollout && scenario.priorities
        val arrival =
            RequestArrival(
                request = request,
                requestId = "",
                route = if (isRollout) ROLLOUT_ROUTE else INTERACTIVE_ROUTE,
                team = load.team,
                keyName = load.team,
                priority = if (isRollout) RoutePriority.ROLLOUT else RoutePriority.INTERACTIVE,
                contentDigest = "$request",
                promptPrefixDigest = 1 + random.nextLong(scenario.prefixes.toLong()),
                repeatable = true,
                expectedTokens = load.tokens.toLong(),
                minimumWeightVersion = 0,
                deadlineMilliseconds = Long.MAX_VALUE,
                seed = random.nextLong(),
            )
        handleEvent(random.nextInt(scenario.instances), RequestEvent.RequestSubmitted(arrival))
    }

    private fun reportLoad(instance: Int) {
        engines.forEachIndexed { number, engine ->
            val load = EngineLoad(running = engine.runningCount, waiting = engine.waitingCount)
            handleEvent(instance, RequestEvent.LoadReported("engine-$number", load))
        }
        handleEvent(instance, RequestEvent.Tick)
        schedule(MILLISECONDS_PER_SECOND) { reportLoad(instance) }
    }

    private fun handleEvent(
        instance: Int,
        event: RequestEvent,
    ) {
        val transition = decide(states[instance], event, nowMilliseconds)
        states[instance] = transition.state
        transition.effects.forEach { execute(instance, it) }
    }

    private fun execute(
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
        val entry = states[instance].entries.getValue(effect.request)
        val load = arrivals.getValue(effect.request).second
        val engine = effect.server.removePrefix("engine-").toInt()
        val job =
            EngineJob(
                instance = instance,
                request = effect.request,
                attempt = effect.attempt,
                tokens = load.tokens,
                prefix = entry.arrival.promptPrefixDigest,
                priority = entry.arrival.priority.ordinal,
            )
        jobs[effect.request to effect.attempt] = engine to job
        schedule(NETWORK_MILLISECONDS) {
            if (jobs.containsKey(effect.request to effect.attempt)) engines[engine].enqueue(job)
        }
    }

    private fun cancel(effect: RequestEffect.CancelAttempt) {
        val (engine, job) = jobs.remove(effect.request to effect.attempt) ?: return
        engines[engine].cancel(job)
        figures.preempted++
    }

    private fun newEngine(): SimulatedEngine =
        SimulatedEngine(
            slots = scenario.slots,
            cachedPrefixes = scenario.cachedPrefixes,
            schedule = ::schedule,
            onStarted = { job, isCached ->
                figures.started++
                if (isCached) figures.cached++
                val chunk = RequestReply.Chunk("", 1, 1)
                handleEvent(job.instance, RequestEvent.ChunkReceived(job.request, job.attempt, chunk))
            },
            onFinished = ::finish,
        )

    private fun finish(job: EngineJob) {
        jobs.remove(job.request to job.attempt)
        val (arrivedMilliseconds, load) = arrivals.remove(job.request) ?: return
        figures.latencies.getValue(load.team).recordValue(nowMilliseconds - arrivedMilliseconds)
        handleEvent(job.instance, RequestEvent.AttemptFinished(job.request, job.attempt, "stop", 0))
    }

    private fun newHistogram() = Histogram(MAX_LATENCY_MILLISECONDS, 2)

    private companion object {
        private const val MILLISECONDS_PER_SECOND = 1_000L
        private const val NETWORK_MILLISECONDS = 1L
        private const val MAX_LATENCY_MILLISECONDS = 3_600_000L
    }
}
