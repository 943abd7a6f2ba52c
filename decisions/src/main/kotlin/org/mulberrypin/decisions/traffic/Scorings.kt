/** Decides what the answer of a scoring call means for its task. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.TaskResult
import org.mulberrypin.schema.generated.TaskState

internal fun TrafficState.acceptScore(
    origin: Origin.Scoring,
    signature: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[origin.job] ?: return Transition(this)
    val task = job.tasks[origin.task]?.takeIf { it.phase == TaskPhase.SCORING } ?: return Transition(this)
    return finishTask(job, task, completed(task, signature), nowMilliseconds)
}

/** A scoring call that the backend servers answered with errors often enough fails its task; any other is repeated. */
internal fun TrafficState.failScoring(
    origin: Origin.Scoring,
    request: ForwardedRequest,
    detail: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[origin.job] ?: return Transition(this)
    val task = job.tasks[origin.task]?.takeIf { it.phase == TaskPhase.SCORING } ?: return Transition(this)
    return if (request.errors >= request.route.attemptLimit) {
        val inputs = "errors=${request.errors} of ${request.route.attemptLimit}; $detail"
        val explanation = TrafficEffect.Explain(task.task.id, "scoring failed", job.record.id, inputs)
        finishTask(job, task, failed(task), nowMilliseconds).let { it.copy(effects = listOf(explanation) + it.effects) }
    } else {
        val waiting = task.copy(notBeforeMilliseconds = nowMilliseconds + SCORING_PAUSE_MILLISECONDS)
        Transition(withTask(job, waiting))
    }
}

internal fun completed(
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

internal fun failed(task: TaskProgress): TaskResult =
    TaskResult(
        id = task.task.id,
        state = TaskState.FAILED,
        text = task.text.joinToString("\n") { it.data },
        versions = task.versions.sorted(),
    )

/** Pause before a scoring call that met no sound backend server is made again, in milliseconds. */
private const val SCORING_PAUSE_MILLISECONDS = 200L
