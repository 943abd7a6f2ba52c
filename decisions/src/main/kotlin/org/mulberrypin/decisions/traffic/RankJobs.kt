/** Ranks the waiting tasks of all jobs of this instance for the order of work. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.ordering.GroupMember
import org.mulberrypin.decisions.ordering.JobOutlook
import org.mulberrypin.decisions.ordering.RankedTask
import org.mulberrypin.decisions.ordering.orderTasks
import org.mulberrypin.schema.generated.ServingRoute

/** The jobs of this instance that can run, the oldest first. */
internal fun TrafficState.rankedJobs(
    nowMilliseconds: Long,
    expectedEvents: (RunningJob, TaskProgress) -> Long,
): List<RankedJob> =
    runnableJobs()
        .sortedBy { it.record.submittedWallMilliseconds }
        .map { rankedJob(it, nowMilliseconds, expectedEvents) }

private fun TrafficState.rankedJob(
    job: RunningJob,
    nowMilliseconds: Long,
    expectedEvents: (RunningJob, TaskProgress) -> Long,
): RankedJob {
    val members = job.submission.tasks.mapNotNull { task ->
        job.tasks[task.id]?.let { progress ->
            val isDue = progress.notBeforeMilliseconds <= nowMilliseconds
            GroupMember(
                task = task.id,
                group = task.group,
                remainingEvents = expectedEvents(job, progress),
                isWaiting = progress.phase == TaskPhase.WAITING && isDue,
            )
        }
    }
    val order = orderTasks(members, outlookOf(job, nowMilliseconds))
    val rank = rankOf(job)
    val flow = flowOf(job)
    return RankedJob(
        job = job,
        rank = rank,
        flow = flow,
        standings = order.standings,
        tasks = order.tasks.map { queuedTask(job, rank, flow, it) },
    )
}

private fun TrafficState.queuedTask(
    job: RunningJob,
    rank: Int,
    flow: String,
    ranked: RankedTask,
): QueuedTask {
    val progress = job.tasks.getValue(ranked.task)
    val route = routing?.findRoute(job.record.host, progress.task.path)
    return QueuedTask(
        job = job.record.id,
        task = ranked.task,
        flow = flow,
        rank = rank,
        route = route?.name,
        isVersionBound = route?.singleWeightVersion == true && progress.versions.isNotEmpty(),
        isAlone = progress.isIsolated(),
        standing = ranked.standing,
        remainingEvents = ranked.remainingEvents,
    )
}

/** The waiting tasks of each flow in the order in which they start; no flow is without tasks. */
internal fun waitingTasksByFlow(ranked: List<RankedJob>): MutableMap<String, ArrayDeque<QueuedTask>> =
    ranked
        .flatMap { it.tasks }
        .groupBy { it.flow }
        .mapValuesTo(LinkedHashMap()) { (_, tasks) -> ArrayDeque(tasks.sortedBy { it.standing }) }

/** Flows of the jobs that this instance runs. */
internal fun TrafficState.openFlows(): Set<String> = jobs.values.mapTo(HashSet()) { flowOf(it) }

private fun TrafficState.flowOf(job: RunningJob): String = "${rankOf(job)} ${job.record.team} ${job.record.model}"

private fun TrafficState.rankOf(job: RunningJob): Int = routeOf(job)?.let { rankOf(it, job.record.team) } ?: 0

private fun TrafficState.routeOf(job: RunningJob): ServingRoute? =
    routing?.findRoute(job.record.host, job.record.path)

private fun TrafficState.outlookOf(
    job: RunningJob,
    nowMilliseconds: Long,
): JobOutlook {
    val route = routeOf(job)
    val pools = route?.pools.orEmpty().mapTo(HashSet()) { it.pool }
    val engines = backends.values.filter {
        it.entry.pool in pools && isAdmitted(it) && it.versionOf(job.submission.model) > 0
    }
    val due = route?.resultsDueMilliseconds ?: 0
    val age = nowMilliseconds + queues.wallOffsetMilliseconds - job.record.submittedWallMilliseconds
    return JobOutlook(
        wantedGroups = job.submission.wantedGroups,
        timeLeftMilliseconds = if (due > 0) due - age else null,
        eventMilliseconds = engines.mapNotNull { it.knownPace(nowMilliseconds) }.minOrNull(),
        slots = engines.sumOf { it.entry.slots },
    )
}
