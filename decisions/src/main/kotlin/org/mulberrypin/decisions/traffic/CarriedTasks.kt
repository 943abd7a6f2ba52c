/** Decides which partial results of an ended job are kept, and which of them a later job of the same team resumes. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask

/** Keeps the progress of an ended job's incomplete groups, up to [MAX_CARRIED_TASKS] tasks in total. */
internal fun TrafficState.keepIncompleteTasks(
    job: RunningJob,
    nowMilliseconds: Long,
): TrafficState {
    val incomplete = job.tasks.values
        .filter { it.phase != TaskPhase.DONE }
        .mapTo(HashSet()) { it.task.group }
    val kept = job.tasks.values
        .filter { it.task.group in incomplete && it.lastEvent > 0 }
        .filter { it.phase != TaskPhase.DONE || it.isTextComplete }
        .take((MAX_CARRIED_TASKS - carriedTasks.size).coerceAtLeast(0))
    val added = kept.associate {
        it.task.id to CarriedTask(job.record.team, job.record.model, it, nowMilliseconds)
    }
    return copy(carriedTasks = carriedTasks.putAll(added))
}

/** Removes carried tasks that expired before a later job resumed them. */
internal fun TrafficState.expireCarriedTasks(nowMilliseconds: Long): TrafficState {
    val stale = carriedTasks
        .filterValues { nowMilliseconds - it.endedMilliseconds > CARRIED_TASK_EXPIRY_MILLISECONDS }
        .keys
    return if (stale.isEmpty()) this else copy(carriedTasks = stale.fold(carriedTasks) { rest, id -> rest.remove(id) })
}

/**
 * Resumes tasks from the output of an earlier job of the same team and model if the task's request is unchanged and
 * [submission] allows all weight versions in the output.
 */
internal fun PersistentMap<String, CarriedTask>.resumeIn(
    team: String,
    submission: JobSubmission,
    tasks: PersistentMap<String, TaskProgress>,
): PersistentMap<String, TaskProgress> {
    var resumed = tasks
    for (task in tasks.values) {
        val earlier = get(task.task.id)?.takeIf { it.isReusableFor(team, submission, task.task) }?.progress
        if (task.phase == TaskPhase.WAITING && task.lastEvent == 0L && earlier != null) {
            resumed = resumed.put(task.task.id, task.resumedFrom(earlier))
        }
    }
    return resumed
}

private fun CarriedTask.isReusableFor(
    team: String,
    submission: JobSubmission,
    task: JobTask,
): Boolean {
    val isSameRequest = task.copy(group = "", scoring = null) == progress.task.copy(group = "", scoring = null)
    val isRecentEnough = progress.versions.all { it >= submission.minimumVersion }
    return this.team == team && model == submission.model && isSameRequest && isRecentEnough
}

private fun TaskProgress.resumedFrom(earlier: TaskProgress): TaskProgress =
    copy(
        phase = if (earlier.isTextComplete) TaskPhase.SCORING else TaskPhase.WAITING,
        lastEvent = earlier.lastEvent,
        text = earlier.text,
        versions = earlier.versions,
        currentVersion = earlier.currentVersion,
        isTextComplete = earlier.isTextComplete,
    )

/** Maximum number of carried tasks; at 25 KB each, 6 MB. */
private const val MAX_CARRIED_TASKS = 256

/** Time for which a carried task can be resumed, in milliseconds: twice the longest wait of a trainer. */
private const val CARRIED_TASK_EXPIRY_MILLISECONDS = 24_000L
