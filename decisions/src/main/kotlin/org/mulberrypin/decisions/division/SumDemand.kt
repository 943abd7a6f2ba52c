/**
 * Adds up and smooths the demand that the instances state in their heartbeats. A statement with a figure that no
 * deployment reaches is left out, since one faulty instance would otherwise take the engines of all models.
 */
package org.mulberrypin.decisions.division

import org.mulberrypin.schema.generated.ModelDemand
import kotlin.math.exp

/** Whether all figures of a statement are in a range that a deployment can reach. */
public fun isPlausible(demand: ModelDemand): Boolean =
    demand.model.isNotEmpty() &&
        demand.waitingTasks in 0..MAX_TASKS &&
        demand.runningTasks in 0..MAX_TASKS &&
        demand.remainingTokens in 0..(demand.waitingTasks.toLong() + demand.runningTasks) * MAX_TASK_TOKENS &&
        demand.tokensPerSecond in 0.0..MAX_TOKENS_PER_SECOND &&
        demand.taskTokensPerSecond in 0.0..MAX_TOKENS_PER_SECOND

/**
 * Moves [smoothed] towards [demands], which were read [elapsedMilliseconds] after the last ones. At first, while demand
 * has been read for [watchedMilliseconds] only, this gives the mean, so that the first reading has no more weight than
 * the others.
 */
internal fun smoothDemand(
    smoothed: Map<String, SmoothedDemand>,
    demands: List<ModelDemand>,
    elapsedMilliseconds: Long,
    watchedMilliseconds: Long,
): Map<String, SmoothedDemand> {
    val meanWeight = elapsedMilliseconds.toDouble() / watchedMilliseconds.coerceAtLeast(1)
    val weight = maxOf(1 - exp(-elapsedMilliseconds / SMOOTHING_MILLISECONDS), meanWeight).coerceAtMost(1.0)
    val stated = demands.groupBy { it.model }
    return (smoothed.keys + stated.keys).associateWith { model ->
        val current = sum(stated[model].orEmpty())
        val previous = smoothed[model]
        if (previous == null) current else previous.towards(current, weight)
    }
}

private fun sum(demands: List<ModelDemand>): SmoothedDemand {
    val paces = demands.map { it.taskTokensPerSecond }.filter { it > 0 }
    return SmoothedDemand(
        tokensPerSecond = demands.sumOf { it.tokensPerSecond },
        remainingTokens = demands.sumOf { it.remainingTokens }.toDouble(),
        waitingTasks = demands.sumOf { it.waitingTasks }.toDouble(),
        runningTasks = demands.sumOf { it.runningTasks }.toDouble(),
        taskTokensPerSecond = if (paces.isEmpty()) 0.0 else paces.average(),
    )
}

private fun SmoothedDemand.towards(
    current: SmoothedDemand,
    weight: Double,
): SmoothedDemand {
    fun blend(
        before: Double,
        after: Double,
    ) = before + (after - before) * weight
    val isPaceKnown = current.taskTokensPerSecond > 0
    val knownPace = if (taskTokensPerSecond > 0) taskTokensPerSecond else current.taskTokensPerSecond
    return SmoothedDemand(
        tokensPerSecond = blend(tokensPerSecond, current.tokensPerSecond),
        remainingTokens = blend(remainingTokens, current.remainingTokens),
        waitingTasks = blend(waitingTasks, current.waitingTasks),
        runningTasks = blend(runningTasks, current.runningTasks),
        taskTokensPerSecond = if (isPaceKnown) blend(knownPace, current.taskTokensPerSecond) else knownPace,
    )
}

/**
 * Shares of [models] in the engines of a pool, in thousandths: demand divided by the pace of the model's engines. Null
 * if no model has demand.
 */
internal fun modelShares(
    models: List<String>,
    demand: Map<String, SmoothedDemand>,
): Map<String, Int>? {
    val paces = models.associateWith { demand[it]?.taskTokensPerSecond ?: 0.0 }
    val meanPace = paces.values
        .filter { it > 0 }
        .average()
        .takeIf { it > 0 } ?: 1.0
    val needs = models.associateWith { model ->
        val pace = paces.getValue(model).takeIf { it > 0 } ?: meanPace
        (demand[model]?.work ?: 0.0) / pace.coerceIn(meanPace / MAX_PACE_RATIO, meanPace * MAX_PACE_RATIO)
    }
    val total = needs.values.sum()
    if (total * meanPace < MIN_WORK) return null
    return needs.mapValues { (_, need) -> Math.round(need / total * THOUSANDTHS).toInt() }
}

/** Time over which demand is smoothed, in milliseconds: somewhat more than the usual interval between steps. */
private const val SMOOTHING_MILLISECONDS = 5_000.0

/** Work below which a pool counts as idle and keeps its division, in tokens a second. */
private const val MIN_WORK = 1.0

/** Largest ratio of a model's pace to the mean that is taken into account. */
private const val MAX_PACE_RATIO = 3.0
private const val THOUSANDTHS = 1_000

/** Upper bound of the output tokens of one task; estimates beyond it are cut when demand is stated. */
public const val MAX_TASK_TOKENS: Long = 1_000_000L

/** Tasks of all open jobs of one instance. */
private const val MAX_TASKS = 10_000_000

/** Output tokens that all engines of the largest deployment generate in a second, ten times over. */
private const val MAX_TOKENS_PER_SECOND = 110_000_000.0
