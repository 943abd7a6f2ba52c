/** Decides which of the waiting tasks get an engine first. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.JobSubmission

/**
 * Order in which tasks start. The first half of the wanted groups keeps the order of the submission, since the trainer
 * may need these groups in any case. The other groups start shortest first, since the trainer ends the job once enough
 * groups are complete. Within a group, the longest task starts first.
 */
internal fun taskOrder(
    submission: JobSubmission,
    lengthHints: Map<String, Long>,
): List<String> {
    val groups = submission.tasks
        .groupBy { it.group }
        .values
        .toList()
    val unsortedGroupCount = submission.wantedGroups / 2
    val (first, others) = groups.withIndex().partition { it.index < unsortedGroupCount }
    val sorted = others.sortedBy { group -> group.value.maxOf { lengthHints[it.id] ?: 0 } }
    return (first + sorted)
        .flatMap { group ->
            group.value.sortedByDescending { lengthHints[it.id] ?: 0 }
        }.map { it.id }
}

/** Dispatches tasks that are waiting for an engine or for their scoring call, those of the oldest job first. */
internal fun TrafficState.dispatchTasks(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val oldestFirst = jobs.values.sortedBy { it.record.submittedWallMilliseconds }
    return decideEach(oldestFirst) { state, job ->
        state.decideEach(job.order) { next, id -> next.dispatchIfDue(job.record.id, id, nowMilliseconds) }
    }
}
