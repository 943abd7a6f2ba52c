/** Decides what a later job of the same trainer takes over of the texts that an ended job left unfinished. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask

/** Keeps the texts of an ended job's incomplete groups, as far as there is room. */
internal fun TrafficState.carryOver(
    job: RunningJob,
    nowMilliseconds: Long,
): TrafficState {
    val incomplete = job.tasks.values
        .filter { it.phase != TaskPhase.DONE }
        .mapTo(HashSet()) { it.task.group }
    val kept = job.tasks.values
        .filter { it.task.group in incomplete && it.lastEvent > 0 }
        .filter { it.phase != TaskPhase.DONE || it.isTextComplete }
        .take((CARRIED_LIMIT - carried.size).coerceAtLeast(0))
    val added = kept.associate {
        it.task.id to CarriedTask(job.record.team, job.record.model, it, nowMilliseconds)
    }
    return copy(carried = carried.putAll(added))
}

/** Forgets texts that no job has taken over in time. */
internal fun TrafficState.forgetCarried(nowMilliseconds: Long): TrafficState {
    val old = carried.filterValues { nowMilliseconds - it.endedMilliseconds > CARRIED_MILLISECONDS }.keys
    return if (old.isEmpty()) this else copy(carried = old.fold(carried) { table, id -> table.remove(id) })
}

/** Starts tasks from the text that an earlier job left, where all its versions suit [submission]. */
internal fun PersistentMap<String, CarriedTask>.continueIn(
    team: String,
    submission: JobSubmission,
    tasks: PersistentMap<String, TaskProgress>,
): PersistentMap<String, TaskProgress> {
    var table = tasks
    for (task in tasks.values) {
        val earlier = get(task.task.id)?.takeIf { it.suits(team, submission, task.task) }?.progress
        if (task.phase == TaskPhase.WAITING && task.lastEvent == 0L && earlier != null) {
            table = table.put(task.task.id, task.continuing(earlier))
        }
    }
    return table
}

private fun CarriedTask.suits(
    team: String,
    submission: JobSubmission,
    task: JobTask,
): Boolean {
    val isSameRequest = task.copy(group = "", scoring = null) == progress.task.copy(group = "", scoring = null)
    val isFresh = progress.versions.all { it >= submission.minimumVersion }
    return this.team == team && model == submission.model && isSameRequest && isFresh
}

private fun TaskProgress.continuing(earlier: TaskProgress): TaskProgress =
    copy(
        phase = if (earlier.isTextComplete) TaskPhase.SCORING else TaskPhase.WAITING,
        lastEvent = earlier.lastEvent,
        text = earlier.text,
        versions = earlier.versions,
        currentVersion = earlier.currentVersion,
        isTextComplete = earlier.isTextComplete,
    )

/** Texts that are kept at most; at 25 KB each, 6 MB. */
private const val CARRIED_LIMIT = 256

/** Time within which a later job may ask for a text, in milliseconds: twice the longest wait of a trainer. */
private const val CARRIED_MILLISECONDS = 24_000L
