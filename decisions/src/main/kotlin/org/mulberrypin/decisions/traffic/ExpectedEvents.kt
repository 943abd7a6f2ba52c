/** Expects how many events the text of a task still needs. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.expectedRemaining

/** Expected remaining events of a text that isn't complete: at least one, and no more than its task allows tokens. */
internal fun TrafficState.expectedRemainingEvents(
    job: RunningJob,
    task: TaskProgress,
): Long {
    if (task.isTextComplete || task.phase == TaskPhase.DONE) return 0
    val route = routing?.findRoute(job.record.host, task.task.path)?.name.orEmpty()
    val limit = if (task.task.tokens > 0) task.task.tokens else Long.MAX_VALUE
    return textLengths.expectedRemaining(route, task.lengthHint, task.lastEvent).toLong().coerceIn(1, limit)
}
