/**
 * Load-balancing policies. The service routes requests with the same prompt prefix to the same backend server, whose
 * prefix cache then holds it, unless that server is overloaded relative to the pool. In that case it takes the cheaper
 * of two random servers, so that instances with the same outdated load report do not all choose the same server.
 */
package org.mulberrypin.decisions.requests

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.random.Random

/** Chooses a backend server for a request. All candidates have a free slot; returns null when there are none. */
public typealias ServerChoice = (candidates: List<ServerCandidate>, arrival: RequestArrival) -> ServerCandidate?

/** Returns the server that most likely caches the prompt prefix, or the cheaper of two if that one is overloaded. */
public fun prefixOrLeastLoadedServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? {
    if (candidates.isEmpty()) return null
    val preferred = prefixAffinityServer(candidates, arrival)
    val limit = candidates.sumOf { it.occupancy } / candidates.size * MAX_RELATIVE_OCCUPANCY + OCCUPANCY_SLACK
    return if (preferred != null && preferred.occupancy <= limit) preferred else twoChoicesServer(candidates, arrival)
}

/** Returns the cheaper of two random servers (power of two choices). */
public fun twoChoicesServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? {
    if (candidates.size <= 1) return candidates.firstOrNull()
    val random = Random(arrival.seed)
    val first = random.nextInt(candidates.size)
    val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
    return minOf(candidates[first], candidates[second], compareBy { cost(it) })
}

/** Returns the server with the lowest estimated occupancy; a baseline for benchmarks. */
public fun leastOccupiedServer(
    candidates: List<ServerCandidate>,
    @Suppress("UnusedParameter") arrival: RequestArrival,
): ServerCandidate? = candidates.minByOrNull { it.occupancy }

/** Returns a random server; a baseline for benchmarks. */
public fun randomServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? = candidates.randomOrNull(Random(arrival.seed))

private fun prefixAffinityServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? {
    if (arrival.promptPrefixDigest == 0L) return null
    return candidates.maxByOrNull { rendezvousWeight(arrival.promptPrefixDigest, it.state.server.name) }
}

private fun rendezvousWeight(
    promptPrefixDigest: Long,
    server: String,
): Long = Hashing
    .komihash5_0()
    .hashStream()
    .putLong(promptPrefixDigest)
    .putString(server)
    .asLong

private fun cost(candidate: ServerCandidate): Double {
    val domainCost = if (candidate.sameFailureDomain) 0.0 else CROSS_DOMAIN_COST
    val latencyCost = candidate.state.averageFirstChunkMilliseconds / MILLISECONDS_PER_OCCUPANCY
    return candidate.occupancy + domainCost + latencyCost
}

/** Occupancy of the preferred server, relative to the mean of the candidates, above which another one is chosen. */
private const val MAX_RELATIVE_OCCUPANCY = 1.25

/** Added to the limit, so that prefix affinity also holds while the pool is nearly idle. */
private const val OCCUPANCY_SLACK = 0.25

/** Cost of a server in another failure domain, as a ratio of its slots. */
private const val CROSS_DOMAIN_COST = 0.02

/** Average time to the first chunk, in milliseconds, that costs as much as a fully occupied server. */
private const val MILLISECONDS_PER_OCCUPANCY = 2_000.0
