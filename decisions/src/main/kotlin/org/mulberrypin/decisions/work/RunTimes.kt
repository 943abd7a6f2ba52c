/**
 * Learned run times of requests, by the name of their route or pool. The table is bounded and forgets what has no
 * requests; a route that is not known yet gets an estimate from its latency objective.
 */
package org.mulberrypin.decisions.work

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Learned run times by the name of a route or pool. */
public data class RunTimes(
    val byName: PersistentMap<String, RunTime> = persistentMapOf(),
)

/**
 * The run time of the requests of a route or pool.
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
    name: String,
    milliseconds: Double,
    nowMilliseconds: Long,
): RunTimes {
    val known = byName[name]?.takeIf { nowMilliseconds - it.learnedMilliseconds < MAX_AGE_MILLISECONDS }
    val samples = (known?.samples ?: 0) + 1
    // A plain mean of the first runs, which a single long one would distort otherwise.
    val weight = maxOf(1.0 / samples, SMOOTHING)
    val before = known?.milliseconds ?: milliseconds
    val next = RunTime(before + (milliseconds - before) * weight, samples, nowMilliseconds)
    return RunTimes((if (known == null) withRoom() else byName).put(name, next))
}

/** Expected run time of a request at a server of the usual speed, in milliseconds. */
public fun RunTimes.expected(
    name: String,
    objectiveMilliseconds: Long,
    nowMilliseconds: Long,
): Double {
    val known = byName[name]?.takeIf { nowMilliseconds - it.learnedMilliseconds < MAX_AGE_MILLISECONDS }
    return known?.milliseconds
        ?: (objectiveMilliseconds * OBJECTIVE_SHARE).takeIf { it > 0 }
        ?: UNKNOWN_RUN_MILLISECONDS
}

/** Whether enough runs were seen to tell a slow server from a long request. */
public fun RunTimes.isKnown(
    name: String,
    nowMilliseconds: Long,
): Boolean {
    val known = byName[name] ?: return false
    return known.samples >= MIN_SAMPLES && nowMilliseconds - known.learnedMilliseconds < MAX_AGE_MILLISECONDS
}

private fun RunTimes.withRoom(): PersistentMap<String, RunTime> {
    if (byName.size < MAX_NAMES) return byName
    return byName.remove(byName.minBy { it.value.learnedMilliseconds }.key)
}

/** Weight of a new run once some are known. */
private const val SMOOTHING = 0.05

/** Runs after which a run time is relied on. */
private const val MIN_SAMPLES = 5

/** Number of run times that are kept. */
internal const val MAX_NAMES: Int = 256

/** Age at which a run time is forgotten, in milliseconds: ten minutes. */
private const val MAX_AGE_MILLISECONDS = 600_000L

/** Share of the latency objective that a request of an unknown route is expected to run. */
private const val OBJECTIVE_SHARE = 0.2

/** Expected run time of a route without an objective, in milliseconds. */
private const val UNKNOWN_RUN_MILLISECONDS = 50.0
