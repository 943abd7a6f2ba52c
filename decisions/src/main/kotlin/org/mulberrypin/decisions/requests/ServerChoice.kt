/**
 * Choices of a backend server. The service sends requests with the same start of a prompt to the same backend server,
 * where the start is cached, unless that server is busier than the others; then the less costly of two servers drawn
 * by chance is taken, so that instances that see the same old load report do not all choose the same server.
 */
package org.mulberrypin.decisions.requests

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.random.Random

/** Chooses a backend server for a request; the candidates all have room, and null is answered when there is none. */
public typealias ServerChoice = (candidates: List<ServerCandidate>, arrival: RequestArrival) -> ServerCandidate?

/** The server on which the start of the prompt is most likely cached, or the less costly of two drawn by chance. */
public fun prefixOrLeastLoadedServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? {
    if (candidates.isEmpty()) return null
    val preferred = cachedServer(candidates, arrival)
    val bound = candidates.sumOf { it.occupancy } / candidates.size * OCCUPANCY_BOUND + OCCUPANCY_SLACK
    return if (preferred != null && preferred.occupancy <= bound) preferred else twoChoicesServer(candidates, arrival)
}

/** The less costly of two servers drawn by chance. */
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

/** The server that the load reports show as the least occupied; the baseline. */
public fun leastOccupiedServer(
    candidates: List<ServerCandidate>,
    @Suppress("UnusedParameter") arrival: RequestArrival,
): ServerCandidate? = candidates.minByOrNull { it.occupancy }

/** A server drawn by chance; the simplest baseline. */
public fun randomServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? = candidates.randomOrNull(Random(arrival.seed))

private fun cachedServer(
    candidates: List<ServerCandidate>,
    arrival: RequestArrival,
): ServerCandidate? {
    if (arrival.prefixDigest == 0L) return null
    return candidates.maxByOrNull { rendezvousWeight(arrival.prefixDigest, it.state.server.name) }
}

private fun rendezvousWeight(
    prefixDigest: Long,
    server: String,
): Long = Hashing
    .komihash5_0()
    .hashStream()
    .putLong(prefixDigest)
    .putString(server)
    .asLong

private fun cost(candidate: ServerCandidate): Double {
    val distance = if (candidate.sameFailureDomain) 0.0 else DISTANCE_COST
    val slowness = candidate.state.partMilliseconds / MILLISECONDS_PER_OCCUPANCY
    return candidate.occupancy + distance + slowness
}

/** Occupancy of the preferred server relative to the mean, up to which it is preferred. */
private const val OCCUPANCY_BOUND = 1.25

/** Occupancy added to the bound, so that nearly idle servers keep their preference. */
private const val OCCUPANCY_SLACK = 0.25

/** Occupancy that one hop into another failure domain is worth. */
private const val DISTANCE_COST = 0.02

/** Time to the first part, in milliseconds, that weighs as much as a full server. */
private const val MILLISECONDS_PER_OCCUPANCY = 2_000.0
