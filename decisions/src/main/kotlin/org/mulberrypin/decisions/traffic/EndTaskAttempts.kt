/** Ends attempts of tasks that failed or stalled; the tasks resume on other engines after their last received event. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach

internal fun TrafficState.handleTaskFailure(
    event: TrafficEvent.TaskAttemptFailed,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideCurrentAttempt(event) { job, task ->
        val unanswered = task.copy(isUnanswered = task.isUnanswered || (event.sent && !event.connectionLost))
        val failed = if (event.connectionLost) unanswered.withLostConnection(nowMilliseconds) else unanswered
        failTaskAttempt(job, failed, event.detail, nowMilliseconds)
    }

/** Ends a failed attempt; the task resumes on another engine after the last received event. */
internal fun TrafficState.failTaskAttempt(
    job: RunningJob,
    task: TaskProgress,
    detail: String,
    nowMilliseconds: Long,
    cancel: Boolean = false,
): Transition<TrafficState, TrafficEffect> {
    val server = task.server.orEmpty()
    val released = copy(backends = backends.updated(server) { it.released().failed(nowMilliseconds) })
    val waiting = task.copy(phase = TaskPhase.WAITING)
    val inputs = "$detail; attempt=${task.attempt} lastEvent=${task.lastEvent} crashes=${task.crashes}"
    return Transition(
        released.withTask(job, waiting),
        listOfNotNull(
            TrafficEffect.RecordDecision(task.task.id, "attempt failed", server, inputs),
            if (cancel) TrafficEffect.CancelTask(job.record.id, task.task.id) else null,
        ),
    )
}

/** Ends attempts that have received no event within [eventTimeout]. */
internal fun TrafficState.timeOutIdleTasks(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.values) { state, job ->
        val idle = job.tasks.values.filter {
            it.phase == TaskPhase.RUNNING && nowMilliseconds - it.lastActivityMilliseconds > eventTimeout(it)
        }
        state.decideEach(idle) { next, task ->
            val current = next.jobs[job.record.id]
            val detail = "no event received within the timeout"
            current?.let { next.failTaskAttempt(it, task, detail, nowMilliseconds, cancel = true) } ?: Transition(next)
        }
    }

private fun eventTimeout(task: TaskProgress): Long =
    if (task.lastEvent == 0L) FIRST_EVENT_TIMEOUT_MILLISECONDS else NEXT_EVENT_TIMEOUT_MILLISECONDS

/** Timeout of the first event, including the wait in the engine's queue, in milliseconds. */
private const val FIRST_EVENT_TIMEOUT_MILLISECONDS = 2_500L

/** Longest time between events, in milliseconds: ten times the interval between the events of a slow engine. */
private const val NEXT_EVENT_TIMEOUT_MILLISECONDS = 1_500L
