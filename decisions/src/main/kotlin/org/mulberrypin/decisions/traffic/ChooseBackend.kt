/** Decides which backend server a request is sent to. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.Choice
import org.mulberrypin.decisions.work.ServerCandidate
import org.mulberrypin.decisions.work.chooseNearlyBest
import org.mulberrypin.decisions.work.expected
import org.mulberrypin.decisions.work.expectedCompletion
import org.mulberrypin.decisions.work.poolOthers

/**
 * Selects the backend server at which [request] is expected to be complete first; servers in backoff come last. A hash
 * of the request picks one of those that are about equal.
 */
internal fun TrafficState.chooseBackend(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Choice<Backend>? {
    val usable = backends.values.filter {
        it.entry.pool == request.pool && isUsable(it, nowMilliseconds) && it.entry.id !in request.tried
    }
    val ready = usable.filter { it.avoidedUntilMilliseconds <= nowMilliseconds }
    val candidates = ready.ifEmpty { soonestReady(usable) }.map { it to candidateOf(it) }
    val remaining = remainingMilliseconds(candidates.associate { (it, _) -> it.entry.id to it }, nowMilliseconds)
    val run = runTimes.expected(request.route.name, request.route.objectiveMilliseconds, nowMilliseconds)
    val ofPool = poolRunTimes.expected(request.pool, request.route.objectiveMilliseconds, nowMilliseconds)
    val others = poolOthers(candidates.map { it.second })
    val choices = candidates.map { (backend, candidate) ->
        val queued = remaining[candidate.id] ?: ofPool
        Choice(backend, expectedCompletion(candidate, run, queued, others, nowMilliseconds))
    }
    val seed = stableHash(request.request, request.id)
    return chooseNearlyBest(choices) { stableHash(seed, it.entry.id) }
}

/** The servers whose backoff ends first; one that has just failed is not tried before one that failed long ago. */
private fun soonestReady(backends: List<Backend>): List<Backend> {
    val soonest = backends.minOfOrNull { it.avoidedUntilMilliseconds } ?: return emptyList()
    return backends.filter { it.avoidedUntilMilliseconds == soonest }
}

internal fun TrafficState.candidateOf(backend: Backend) =
    ServerCandidate(
        id = backend.entry.id,
        slots = backend.entry.slots,
        inFlight = backend.inFlight,
        work = backend.work,
        isLocal = backend.entry.failureDomain == identity.failureDomain,
    )

/** Mean expected remaining time of this instance's requests and tasks at each of [servers] that has some. */
private fun TrafficState.remainingMilliseconds(
    servers: Map<String, Backend>,
    nowMilliseconds: Long,
): Map<String, Double> {
    val remaining = HashMap<String, ArrayList<Double>>()
    for (request in requests.values) {
        val server = request.server?.takeIf { it in servers } ?: continue
        val expected = request.expected?.running ?: 0.0
        val left = maxOf(expected - (nowMilliseconds - request.sentMilliseconds), expected * LEAST_REMAINING_SHARE)
        remaining.getOrPut(server) { ArrayList() }.add(left)
    }
    for (job in jobs.values) {
        for (task in job.tasks.values) {
            val server = task.server?.takeIf { task.phase == TaskPhase.RUNNING }?.let(servers::get) ?: continue
            val left = remainingMilliseconds(job, task, server, nowMilliseconds)
            remaining.getOrPut(server.entry.id) { ArrayList() }.add(left)
        }
    }
    return remaining.mapValues { it.value.average() }
}

/** Expected time until the text of a running task is complete. */
private fun TrafficState.remainingMilliseconds(
    job: RunningJob,
    task: TaskProgress,
    backend: Backend,
    nowMilliseconds: Long,
): Double {
    val events = expectedRemainingEvents(job, task).toDouble()
    return events * backend.expectedPace(events, poolPace(listOf(backend), nowMilliseconds), nowMilliseconds)
}

/** Share of the expected run time that a request which has outrun it is still expected to take. */
private const val LEAST_REMAINING_SHARE = 0.2
