/**
 * States what the batch jobs of this instance ask of the engines, by model, for the division of engines among models.
 * Token counts are the submitter's estimates; nothing but the proportions of the models depends on them.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.division.DemandHistory
import org.mulberrypin.decisions.division.MAX_TASK_TOKENS
import org.mulberrypin.decisions.division.StepWork
import org.mulberrypin.schema.generated.ModelDemand

/** States the demand at most once in [STATEMENT_INTERVAL_MILLISECONDS]; states none only after having stated some. */
internal fun TrafficState.stateDemand(
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    if (nowMilliseconds - demandHistory.lastStatedMilliseconds < STATEMENT_INTERVAL_MILLISECONDS) {
        return Transition(this)
    }
    if (jobs.isEmpty() && demandHistory.steps.isEmpty()) return Transition(this)
    val history = demandHistory.updated(jobs.values, wallMilliseconds).copy(lastStatedMilliseconds = nowMilliseconds)
    val models = jobs.values.map { it.submission.model } + history.steps.values.map { it.model }
    val demands = models.distinct().sorted().map { model ->
        modelDemand(model, history, nowMilliseconds, wallMilliseconds)
    }
    return Transition(copy(demandHistory = history), listOf(TrafficEffect.StateDemand(demands)))
}

private fun DemandHistory.updated(
    jobs: Collection<RunningJob>,
    wallMilliseconds: Long,
): DemandHistory {
    val fresh = jobs.filter { it.record.id !in steps }.associate { job ->
        job.record.id to StepWork(
            job.submission.model,
            job.tasks.values.sumOf(::expectedTokens),
            job.record.submittedWallMilliseconds,
        )
    }
    val kept = (steps + fresh).filterValues {
        wallMilliseconds - it.submittedWallMilliseconds in -RATE_WINDOW_MILLISECONDS..RATE_WINDOW_MILLISECONDS
    }
    return copy(steps = steps.clear().putAll(kept))
}

private fun TrafficState.modelDemand(
    model: String,
    history: DemandHistory,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): ModelDemand {
    val tasks = jobs.values.filter { it.submission.model == model }.flatMap { it.tasks.values }
    val tokensPerEvent = tokensPerEvent(tasks)
    val running = tasks.filter { it.phase == TaskPhase.RUNNING }
    val waiting = tasks.filter { it.phase == TaskPhase.WAITING }
    val paces = running
        .mapNotNullTo(HashSet()) { it.server }
        .mapNotNull { backends[it]?.knownPace(nowMilliseconds) }
        .filter { it > 0 }
    return ModelDemand(
        model = model,
        remainingTokens = (running + waiting).sumOf { remainingTokens(it, tokensPerEvent) },
        waitingTasks = waiting.size,
        runningTasks = running.size,
        tokensPerSecond = tokensPerSecond(history.steps.values.filter { it.model == model }, wallMilliseconds),
        taskTokensPerSecond =
            if (paces.isEmpty()) 0.0 else paces.map { tokensPerEvent * MILLISECONDS_PER_SECOND / it }.average(),
    )
}

/** The rate at which [steps] asked for tokens; the newest step stands for the interval until the next one. */
private fun tokensPerSecond(
    steps: List<StepWork>,
    wallMilliseconds: Long,
): Double {
    if (steps.isEmpty()) return 0.0
    val oldest = steps.minOf { it.submittedWallMilliseconds }
    val newest = steps.maxOf { it.submittedWallMilliseconds }
    val wholeIntervals = if (steps.size > 1) (newest - oldest) * steps.size / (steps.size - 1) else 0
    val span = maxOf(wallMilliseconds - oldest, wholeIntervals, FIRST_INTERVAL_MILLISECONDS)
    return steps.sumOf { it.tokens } * MILLISECONDS_PER_SECOND / span
}

/** Output tokens of one event, from the tasks whose texts are complete. */
private fun tokensPerEvent(tasks: List<TaskProgress>): Double {
    val complete = tasks.filter { it.isTextComplete && it.lengthHint > 0 && it.lastEvent > 0 }
    val events = complete.sumOf { it.lastEvent }
    return if (events > 0) complete.sumOf(::expectedTokens).toDouble() / events else DEFAULT_TOKENS_PER_EVENT
}

private fun remainingTokens(
    task: TaskProgress,
    tokensPerEvent: Double,
): Long {
    val expected = expectedTokens(task)
    val generated = (task.lastEvent * tokensPerEvent).toLong()
    return (expected - generated).coerceAtLeast(expected / MIN_REMAINING_DIVISOR)
}

/** The submitter's estimate, at most what the task allows in all. */
private fun expectedTokens(task: TaskProgress): Long {
    val hint = task.lengthHint.takeIf { it > 0 } ?: DEFAULT_TASK_TOKENS
    val limit = task.task.tokens.takeIf { it > 0 } ?: MAX_TASK_TOKENS
    return hint.coerceIn(1, limit.coerceAtMost(MAX_TASK_TOKENS))
}

/** Interval between statements, in milliseconds; that of heartbeats. */
private const val STATEMENT_INTERVAL_MILLISECONDS = 500L

/** Time for which a step counts for the rate, in milliseconds: three steps of the usual interval. */
private const val RATE_WINDOW_MILLISECONDS = 12_000L

/** Time that the first step of a trainer stands for, in milliseconds. */
private const val FIRST_INTERVAL_MILLISECONDS = 4_000L

/** A text that is longer than expected has at least this part of its expected length before it. */
private const val MIN_REMAINING_DIVISOR = 10
private const val DEFAULT_TOKENS_PER_EVENT = 16.0

/** Output tokens of a task without an estimate. */
private const val DEFAULT_TASK_TOKENS = 256L

private const val MILLISECONDS_PER_SECOND = 1_000.0
