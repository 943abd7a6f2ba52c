/**
 * Runs a policy at several instances over arrivals and service times that are drawn from a seed and are the same for
 * all policies. Nothing but the choice and what it learns is simulated: no failures, refusals or connections.
 */
package org.mulberrypin.benchmarks.work

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.work.LoadReport
import org.mulberrypin.decisions.work.RunTimes
import org.mulberrypin.decisions.work.ServerCandidate
import org.mulberrypin.decisions.work.ServerWork
import org.mulberrypin.decisions.work.answered
import org.mulberrypin.decisions.work.expected
import org.mulberrypin.decisions.work.isKnown
import org.mulberrypin.decisions.work.learned
import org.mulberrypin.decisions.work.ran
import org.mulberrypin.decisions.work.reported
import org.mulberrypin.decisions.work.sent
import org.mulberrypin.decisions.work.total
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

internal class WorkSimulation(
    private val scenario: WorkScenario,
    private val policy: WorkPolicy,
    seed: Int,
) {
    private data class Scheduled(
        val milliseconds: Double,
        val sequence: Long,
        val action: () -> Unit,
    )

    /** What one instance knows of one server. */
    private data class Known(
        val inFlight: Int = 0,
        val work: ServerWork = ServerWork(),
        val load: Int = 0,
        val reportedMilliseconds: Long = Long.MIN_VALUE / 2,
    )

    private val random = Random(seed)
    private val servers = (0 until scenario.servers).map {
        SimulatedServer("server-$it", SPEEDS[it % SPEEDS.size], it / SPEEDS.size % DOMAINS, scenario.slots, seed + it)
    }
    private val known = Array(scenario.instances) { Array(scenario.servers) { Known() } }
    private val runTimes = Array(scenario.instances) { RunTimes() }
    private val poolRunTimes = Array(scenario.instances) { RunTimes() }
    private val events = PriorityQueue(compareBy<Scheduled>({ it.milliseconds }, { it.sequence }))
    private val latencies = Histogram(MAX_LATENCY_MILLISECONDS, 2)
    private var sequence = 0L
    private var nowMilliseconds = 0.0

    fun run(): Histogram {
        scheduleArrivals()
        if (scenario.sharedReportMilliseconds > 0) scheduleReports()
        while (events.isNotEmpty()) {
            val next = events.poll()
            nowMilliseconds = next.milliseconds
            next.action()
        }
        return latencies
    }

    private fun scheduleArrivals() {
        val rate = servers.sumOf { it.speed } * scenario.slots * SimulatedServer.MEAN_RATE * scenario.utilization
        val gap = MEAN_WORK_MILLISECONDS / rate
        val gaussian = random.asJavaRandom()
        var arrival = 0.0
        var number = 0L
        while (arrival < scenario.durationMilliseconds) {
            arrival += -ln(1 - random.nextDouble()) * gap
            val isLong = random.nextBoolean()
            val mean = if (isLong) LONG_WORK_MILLISECONDS else SHORT_WORK_MILLISECONDS
            val work = mean * exp(gaussian.nextGaussian() * SPREAD - SPREAD * SPREAD / 2)
            val route = if (isLong) "long" else "short"
            val request = SimulatedRequest(number++, route, work, random.nextInt(scenario.instances), arrival)
            at(arrival) { arrive(request) }
        }
    }

    private fun scheduleReports() {
        val interval = scenario.sharedReportMilliseconds
        known.indices.forEach { instance ->
            servers.indices.forEach { server ->
                val first = random.nextLong(interval)
                for (time in first until scenario.durationMilliseconds step interval) {
                    at(time.toDouble()) { learnLoad(instance, server, servers[server].report(nowMilliseconds)) }
                }
            }
        }
    }

    private fun arrive(request: SimulatedRequest) {
        val now = nowMilliseconds.toLong()
        val view = known[request.instance]
        val inputs = ChoiceInputs(
            candidates = servers.mapIndexed { index, server ->
                val isLocal = server.failureDomain == request.instance % DOMAINS
                ServerCandidate(server.name, scenario.slots, view[index].inFlight, view[index].work, isLocal)
            },
            reportedLoads = view.map { it.load to it.reportedMilliseconds },
            runMilliseconds = runTimes[request.instance].expected(request.route, objectiveOf(request), now),
            queuedMilliseconds = poolRunTimes[request.instance].expected(POOL, SHORT_OBJECTIVE_MILLISECONDS, now),
            seed = request.number,
            nowMilliseconds = now,
        )
        val choice = policy(inputs)
        val index = choice.candidate
        val sent = view[index]
        view[index] = sent.copy(inFlight = sent.inFlight + 1, work = sent.work.sent(now))
        val forwarded = request.copy(server = index, expected = choice.expected)
        at(nowMilliseconds + linkMilliseconds(forwarded)) { end(servers[index].enqueue(forwarded, nowMilliseconds)) }
    }

    private fun end(begun: List<Pair<SimulatedRequest, Double>>) {
        begun.forEach { (request, end) ->
            at(end) {
                val server = servers[request.server]
                val next = server.finish(nowMilliseconds)
                val report = server.report(nowMilliseconds)
                end(next)
                at(nowMilliseconds + linkMilliseconds(request)) { complete(request, report) }
            }
        }
    }

    private fun complete(
        request: SimulatedRequest,
        report: LoadReport,
    ) {
        val now = nowMilliseconds.toLong()
        val actual = nowMilliseconds - request.arrivedMilliseconds
        latencies.recordValue(actual.toLong())
        val view = known[request.instance]
        view[request.server] = view[request.server].let {
            it.copy(inFlight = it.inFlight - 1, work = it.work.answered(now))
        }
        if (scenario.hasReports) learnLoad(request.instance, request.server, report)
        val expected = request.expected?.total?.takeIf { it > 0 } ?: return
        val times = runTimes[request.instance]
        val usual = times.expected(request.route, objectiveOf(request), now)
        if (times.isKnown(request.route, now)) {
            val updated = view[request.server]
            view[request.server] = updated.copy(work = updated.work.ran(expected, actual.toLong(), now))
        }
        val scaled = usual * actual / expected
        runTimes[request.instance] = times.learned(request.route, scaled, now)
        poolRunTimes[request.instance] = poolRunTimes[request.instance].learned(POOL, scaled, now)
    }

    private fun learnLoad(
        instance: Int,
        server: Int,
        report: LoadReport,
    ) {
        val now = nowMilliseconds.toLong()
        val before = known[instance][server]
        val work = before.work.reported(report, before.inFlight, now)
        known[instance][server] =
            before.copy(work = work, load = report.running + report.waiting, reportedMilliseconds = now)
    }

    private fun linkMilliseconds(request: SimulatedRequest): Double {
        val isLocal = servers[request.server].failureDomain == request.instance % DOMAINS
        return if (isLocal) LOCAL_MILLISECONDS else REMOTE_MILLISECONDS
    }

    private fun objectiveOf(request: SimulatedRequest): Long =
        if (request.route == "long") LONG_OBJECTIVE_MILLISECONDS else SHORT_OBJECTIVE_MILLISECONDS

    private fun at(
        milliseconds: Double,
        action: () -> Unit,
    ) {
        events.add(Scheduled(milliseconds, sequence++, action))
    }

    private companion object {
        private val SPEEDS = listOf(0.7, 0.7, 1.7)
        private const val DOMAINS = 3
        private const val POOL = "pool"
        private const val SHORT_WORK_MILLISECONDS = 25.0
        private const val LONG_WORK_MILLISECONDS = 205.0
        private const val MEAN_WORK_MILLISECONDS = (SHORT_WORK_MILLISECONDS + LONG_WORK_MILLISECONDS) / 2
        private const val SHORT_OBJECTIVE_MILLISECONDS = 150L
        private const val LONG_OBJECTIVE_MILLISECONDS = 800L

        /** Spread of the work of requests of one route, as the deviation of its logarithm. */
        private const val SPREAD = 0.5
        private const val LOCAL_MILLISECONDS = 0.3
        private const val REMOTE_MILLISECONDS = 1.2
        private const val MAX_LATENCY_MILLISECONDS = 3_600_000L
    }
}
