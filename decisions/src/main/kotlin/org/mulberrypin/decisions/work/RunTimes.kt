/**
 * Learned run times of requests by route. The table is bounded and forgets routes without requests; a route that is not
 * known yet gets an estimate from its latency objective.
 */
package org.mulberrypin.decisions.work

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Learned run times by route name. */
public data class RunTimes(
    val byRoute: PersistentMap<String, RunTime> = persistentMapOf(),
)

/**
 * The run time of a route's requests.
 *
 * @property milliseconds smoothed run time, scaled to a server of the usual speed, in milliseconds
 * @property samples number of runs
 * @property learnedMilliseconds time of the last run
 */
public data class RunTime(
    val milliseconds: Double,
    val samples: Int,
    val learnedMilliseconds: Long,
)

/** Adds a run of [milliseconds], scaled to a server of the usual speed. */
public fun RunTimes.learned(
    route: String,
    milliseconds: Double,
    nowMilliseconds: Long,
): RunTimes {
    val known = byRoute[route]?.takeIf { nowMilliseconds - it.learnedMilliseconds < MAX_AGE_MILLISECONDS }
    val samples = (known?.samples ?: 0) + 1
    // A plain mean of the first runs, which a single long one would distort otherwise.
    val weight = maxOf(1.0 / samples, SMOOTHING)
    val before = known?.milliseconds ?: milliseconds
    val next = RunTime(before + (milliseconds - before) * weight, samples, nowMilliseconds)
    return RunTimes((if (known == null) withRoom() else byRoute).put(route, next))
}

/** Expected run time of a request at a server of the usual speed, in milliseconds. */
public fun RunTimes.expected(
    route: String,
    objectiveMilliseconds: Long,
    nowMilliseconds: Long,
): Double {
    val known = byRoute[route]?.takeIf { nowMilliseconds - it.learnedMilliseconds < MAX_AGE_MILLISECONDS }
    return known?.milliseconds
        ?: (objectiveMilliseconds * OBJECTIVE_SHARE).takeIf { it > 0 }
        ?: UNKNOWN_RUN_MILLISECONDS
}

/** Whether enough runs of the route were seen to tell a slow server from a long request. */
public fun RunTimes.isKnown(
    route: String,
    nowMilliseconds: Long,
): Boolean {
    val known = byRoute[route] ?: return false
    return known.samples >= MIN_SAMPLES && nowMilliseconds - known.learnedMilliseconds < MAX_AGE_MILLISECONDS
}

private fun RunTimes.withRoom(): PersistentMap<String, RunTime> {
    if (byRoute.size < MAX_ROUTES) return byRoute
    return byRoute.remove(byRoute.minBy { it.value.learnedMilliseconds }.key)
}

/** Weight of a new run once some are known. */
private const val SMOOTHING = 0.05

/** Runs after which a run time is relied on. */
private const val MIN_SAMPLES = 5

/** Number of routes whose run times are kept. */
internal const val MAX_ROUTES: Int = 256

/** Age at which a run time is forgotten, in milliseconds: ten minutes. */
private const val MAX_AGE_MILLISECONDS = 600_000L

/** Share of the latency objective that a request of an unknown route is expected to run. */
private const val OBJECTIVE_SHARE = 0.2

/** Expected run time of a route without an objective, in milliseconds. */
private const val UNKNOWN_RUN_MILLISECONDS = 50.0
