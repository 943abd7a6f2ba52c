/** Applies the outcome of a scoring call to its task. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.TaskResult
import org.mulberrypin.schema.generated.TaskState

internal fun TrafficState.handleScore(
    origin: Origin.Scoring,
    signature: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[origin.job] ?: return Transition(this)
    val task = job.tasks[origin.task]?.takeIf { it.phase == TaskPhase.SCORING } ?: return Transition(this)
    return finishTask(job, task, completedResult(task, signature), nowMilliseconds)
}

/**
 * Fails the task if its scoring call got status 500 as often as the routes of the call and of the job allow attempts,
 * counted over all calls since a pool may have fewer servers than attempts are allowed; otherwise retries later.
 */
internal fun TrafficState.handleScoringFailure(
    origin: Origin.Scoring,
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[origin.job] ?: return Transition(this)
    val task = job.tasks[origin.task]?.takeIf { it.phase == TaskPhase.SCORING } ?: return Transition(this)
    val errors = task.scoringErrors + request.errors
    val taskLimit = routing?.findRoute(job.record.host, task.task.path)?.attemptLimit ?: 1
    val limit = maxOf(request.route.attemptLimit, taskLimit)
    return if (errors >= limit) {
        val inputs = "errors=$errors of $limit; $detail"
        val explanation = TrafficEffect.RecordDecision(task.task.id, "scoring failed", job.record.id, inputs)
        finishTask(job, task, failedResult(task), nowMilliseconds)
            .let { it.copy(effects = listOf(explanation) + it.effects) }
    } else {
        val waiting = task.copy(
            notBeforeMilliseconds = nowMilliseconds + maxOf(SCORING_BACKOFF_MILLISECONDS, crashWait(request.crashes)),
            scoringErrors = errors,
            crashes = request.crashes,
        )
        Transition(withTask(job, waiting))
    }
}

internal fun completedResult(
    task: TaskProgress,
    score: String,
): TaskResult =
    TaskResult(
        id = task.task.id,
        state = TaskState.COMPLETED,
        text = task.text.joinToString("\n") { it.data },
        versions = task.versions.sorted(),
        score = score,
    )

internal fun failedResult(task: TaskProgress): TaskResult =
    TaskResult(
        id = task.task.id,
        state = TaskState.FAILED,
        text = task.text.joinToString("\n") { it.data },
        versions = task.versions.sorted(),
    )

/** Backoff before a scoring call that no backend server completed is retried, in milliseconds. */
private const val SCORING_BACKOFF_MILLISECONDS = 200L
