/** Estimates when a request would be complete at a server. */
package org.mulberrypin.decisions.work

import kotlin.math.exp
import kotlin.math.ln

/**
 * Expected completion of a request with a run time of [runMilliseconds] at a server of the usual speed.
 *
 * @param poolOthers requests of others that a server of the pool has on average
 * @param ownMilliseconds expected run time of a request that is queued there, at a server of the usual speed
 */
public fun expectedCompletion(
    candidate: ServerCandidate,
    runMilliseconds: Double,
    ownMilliseconds: Double,
    poolOthers: Double,
    nowMilliseconds: Long,
): ExpectedCompletion {
    val present = expectedPresent(candidate, poolOthers, nowMilliseconds)
    val pace = expectedPace(candidate.work, runMilliseconds, nowMilliseconds)
    return ExpectedCompletion(
        wait = expectedWait(present, candidate.slots, ownMilliseconds * pace),
        running = runMilliseconds * pace * crowding(present, candidate.slots),
        preference = preferenceMilliseconds(candidate, nowMilliseconds),
    )
}

/** Expected number of requests at the server, those of this instance and of others. */
internal fun expectedPresent(
    candidate: ServerCandidate,
    poolOthers: Double,
    nowMilliseconds: Long,
): Double = candidate.inFlight + (candidate.work.observed?.expectedOthers(poolOthers, nowMilliseconds) ?: poolOthers)

/** Mean number of others' requests at the servers of a pool; a few reports say little of those without. */
public fun poolOthers(candidates: List<ServerCandidate>): Double {
    val usual = candidates.mapNotNull { it.work.observed?.usualOthers }
    return usual.sum() / (usual.size + UNSEEN_SERVERS)
}

/** Time that work of [runMilliseconds] takes at the server from now on, in relation to the usual time. */
internal fun expectedPace(
    work: ServerWork,
    runMilliseconds: Double,
    nowMilliseconds: Long,
): Double {
    val slowness = work.observed?.expectedSlowness(runMilliseconds, nowMilliseconds) ?: 1.0
    return slowness * work.expectedSpeed(nowMilliseconds)
}

/** Time until one of [slots] is free if [present] requests share them, each of [milliseconds]. */
internal fun expectedWait(
    present: Double,
    slots: Int,
    milliseconds: Double,
): Double {
    val size = slots.coerceAtLeast(1)
    return expectedExcess(present + 1 - size) * milliseconds / size
}

/** Expected positive part of a number that is known to about one: a server that looks nearly full may be full. */
private fun expectedExcess(excess: Double): Double = if (excess > LARGE_EXCESS) excess else ln(1 + exp(excess))

/** Share by which requests slow each other down: servers that are nearly full take longer for each of them. */
internal fun crowding(
    present: Double,
    slots: Int,
): Double = 1 + FULL_SLOWDOWN * (present / slots.coerceAtLeast(1)).coerceAtMost(1.0)

/** Extra time of a server that is far away or to which no connection is likely open, in milliseconds. */
internal fun preferenceMilliseconds(
    candidate: ServerCandidate,
    nowMilliseconds: Long,
): Double {
    val distance = if (candidate.isLocal) 0.0 else DOMAIN_MILLISECONDS
    val connection = if (candidate.work.isWarm(nowMilliseconds)) 0.0 else CONNECTION_MILLISECONDS
    return distance + connection
}

/** Excess above which it is positive for certain. */
private const val LARGE_EXCESS = 30.0

/** Share by which a full server is expected to be slower than an idle one. */
private const val FULL_SLOWDOWN = 0.3

/** Number of idle servers that are averaged with those that report. */
private const val UNSEEN_SERVERS = 2

/** Round trip to another failure domain, in milliseconds. */
private const val DOMAIN_MILLISECONDS = 3.0

/** Round trip to open a connection and the work of its server for it, in milliseconds. */
private const val CONNECTION_MILLISECONDS = 2.0
