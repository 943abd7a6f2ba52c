/**
 * Decides how the tasks of a job run: which task goes to which engine, how a broken stream goes on from its last event,
 * and when a task is done.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.ServingRoute
import org.mulberrypin.schema.generated.TaskResult

/**
 * The order in which tasks start: first the groups that come first in the submission, for which the trainer may wait in
 * any case, then the shorter ones, since the trainer ends the job once it has enough complete groups. Within a group,
 * the longest start first.
 */
internal fun taskOrder(
    submission: JobSubmission,
    lengthHints: Map<String, Long>,
): List<String> {
    val groups = submission.tasks
        .groupBy { it.group }
        .values
        .toList()
    val certain = submission.wantedGroups / 2
    val (first, others) = groups.withIndex().partition { it.index < certain }
    val sorted = others.sortedBy { group -> group.value.maxOf { lengthHints[it.id] ?: 0 } }
    return (first + sorted)
        .flatMap { group ->
            group.value.sortedByDescending { lengthHints[it.id] ?: 0 }
        }.map { it.id }
}

internal fun TrafficState.withTask(
    job: RunningJob,
    task: TaskProgress,
): TrafficState = copy(jobs = jobs.put(job.record.id, job.copy(tasks = job.tasks.put(task.task.id, task))))

/** Sends the tasks that wait for an engine or for their scoring call. */
internal fun TrafficState.dispatchTasks(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val oldestFirst = jobs.values.sortedBy { it.record.submittedWallMilliseconds }
    return decideEach(oldestFirst) { state, job ->
        state.decideEach(job.order) { next, id -> next.dispatchIfDue(job.record.id, id, nowMilliseconds) }
    }
}

private fun TrafficState.dispatchIfDue(
    jobId: String,
    taskId: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[jobId]
    val task = job?.tasks?.get(taskId)
    return when {
        job == null || task == null || task.notBeforeMilliseconds > nowMilliseconds -> Transition(this)
        task.phase == TaskPhase.SCORING -> scoreAgain(job, task, nowMilliseconds)
        task.phase == TaskPhase.WAITING -> dispatchTask(job, task, nowMilliseconds)
        else -> Transition(this)
    }
}

private fun TrafficState.dispatchTask(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val table = routing ?: return Transition(this)
    val route = table.findRoute(job.record.host, task.task.path)
    val chosen = route?.let { chooseEngine(job, it, task, nowMilliseconds) }
    return when {
        route == null -> finishTask(job, task, failed(task), nowMilliseconds)
        chosen != null -> sendTask(job, task, chosen, nowMilliseconds)
        isStranded(job, route, task) -> restartTask(job, task, nowMilliseconds)
        else -> Transition(this)
    }
}

private fun TrafficState.sendTask(
    job: RunningJob,
    task: TaskProgress,
    chosen: Backend,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val jobId = job.record.id
    val running = task.copy(
        phase = TaskPhase.RUNNING,
        attempt = task.attempt + 1,
        server = chosen.entry.id,
        heardMilliseconds = nowMilliseconds,
        currentVersion = chosen.versionOf(job.submission.model),
    )
    val next = withTask(job, running).copy(backends = backends.changed(chosen.entry.id, Backend::sent))
    val inputs = "attempt=${running.attempt} job=$jobId inFlight=${chosen.inFlight} load=${chosen.load} " +
        "weights=${running.currentVersion} minimum=${job.submission.minimumVersion} lastEvent=${task.lastEvent}"
    return Transition(
        next,
        listOf(
            TrafficEffect.Explain(task.task.id, "sent", chosen.entry.id, inputs),
            TrafficEffect.RunTask(
                job = jobId,
                task = task.task,
                attempt = running.attempt,
                address = chosen.entry.address,
                server = chosen.entry.id,
                host = job.record.host,
                team = job.record.team,
                lastEvent = task.lastEvent,
            ),
        ),
    )
}

private fun TrafficState.scoreAgain(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val origin = Origin.Scoring(job.record.id, task.task.id)
    val call = task.task.scoring
    return when {
        call == null -> finishTask(job, task, completed(task, ""), nowMilliseconds)
        requests.values.any { it.origin == origin } -> Transition(this)
        else -> startScoring(job.record.id, task.task.id, call, nowMilliseconds) ?: Transition(this)
    }
}

/** An engine with suitable weights and room: preferably the one that has read the prompt of the group already. */
private fun TrafficState.chooseEngine(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
    nowMilliseconds: Long,
): Backend? {
    val pools = route.pools.mapTo(HashSet()) { it.pool }
    val model = job.submission.model
    val open = backends.values.filter { backend ->
        backend.entry.pool in pools && !backend.entry.leaving &&
            backend.versionOf(model) >= job.submission.minimumVersion &&
            mayContinue(route, task, backend.versionOf(model)) &&
            backend.inFlight < backend.entry.slots &&
            backend.avoidedUntilMilliseconds <= nowMilliseconds
    }
    val near = job.tasks.values
        .filter { it.task.group == task.task.group && it.task.id != task.task.id }
        .mapNotNullTo(HashSet()) { it.server }
    return chooseBackend(
        open.filter { it.entry.id in near }.ifEmpty { open },
        identity.failureDomain,
        mix(0, task.task.group),
        nowMilliseconds,
    )
}

private fun mayContinue(
    route: ServingRoute,
    task: TaskProgress,
    version: Long,
): Boolean = !route.singleWeightVersion || task.versions.all { it == version }

/** Decides an event of a stream, unless it belongs to an earlier attempt. */
private inline fun TrafficState.decideStream(
    event: TrafficEvent.TaskStreamEvent,
    decide: (RunningJob, TaskProgress) -> Transition<TrafficState, TrafficEffect>,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[event.job]
    val task = job?.running(event.task, event.attempt)
    return if (job == null || task == null) Transition(this) else decide(job, task)
}

internal fun TrafficState.acceptTaskAnswer(
    event: TrafficEvent.TaskAnswered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideStream(event) { job, task ->
        if (event.status < ReplyStatus.REDIRECTION) {
            acceptStreamStart(job, task, event, nowMilliseconds)
        } else {
            acceptTaskRefusal(job, task, event, nowMilliseconds)
        }
    }

private fun TrafficState.acceptStreamStart(
    job: RunningJob,
    task: TaskProgress,
    event: TrafficEvent.TaskAnswered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val version = event.version ?: task.currentVersion
    val started = task.copy(currentVersion = version, heardMilliseconds = nowMilliseconds)
    return if (version < job.submission.minimumVersion) {
        breakTask(job, started, "weights=$version are too old", nowMilliseconds, cancel = true)
    } else {
        val taking = copy(backends = backends.changed(task.server.orEmpty()) { it.copy(refusals = 0) })
        Transition(taking.withTask(job, started))
    }
}

private fun TrafficState.acceptTaskRefusal(
    job: RunningJob,
    task: TaskProgress,
    event: TrafficEvent.TaskAnswered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val server = task.server.orEmpty()
    val detail = "status ${event.status}, notRun=${event.notRun}"
    val explanation = TrafficEffect.Explain(task.task.id, "attempt failed", server, detail)
    val freed = copy(
        backends = backends.changed(server) {
            if (event.notRun) it.released().refusedTask(nowMilliseconds) else it.released().full(nowMilliseconds)
        },
    )
    val errors = task.errors + if (event.status == ReplyStatus.INTERNAL_ERROR) 1 else 0
    val limit = routing?.findRoute(job.record.host, task.task.path)?.attemptLimit ?: 1
    val isHopeless = !event.notRun && (event.status == ReplyStatus.UNPROCESSABLE || errors >= limit)
    val waiting = task.copy(
        phase = TaskPhase.WAITING,
        errors = errors,
        notBeforeMilliseconds = nowMilliseconds + if (event.notRun) 0 else ERROR_PAUSE_MILLISECONDS,
    )
    val next = if (isHopeless) {
        freed.finishTask(job, waiting, failed(waiting), nowMilliseconds)
    } else {
        Transition<TrafficState, TrafficEffect>(freed.withTask(job, waiting))
            .andThen { it.dispatchIfDue(job.record.id, task.task.id, nowMilliseconds) }
    }
    return next.copy(effects = listOf(explanation) + next.effects)
}

internal fun TrafficState.acceptEvents(
    event: TrafficEvent.TaskEventsArrived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideStream(event) { job, before ->
        val inOrder = event.events.withIndex().takeWhile { (index, part) -> part.id == before.lastEvent + 1 + index }
        val task = inOrder.fold(before) { task, (_, part) -> task.withEvent(part) }
        val stray = event.events.getOrNull(inOrder.size)
        when {
            isMixed(job, task) -> {
                restartTask(job, task, nowMilliseconds)
            }

            stray == null -> {
                Transition(withTask(job, task.copy(heardMilliseconds = nowMilliseconds)))
            }

            else -> {
                val detail = "event ${stray.id} after event ${task.lastEvent}"
                breakTask(job, task, detail, nowMilliseconds, cancel = true)
            }
        }
    }

private fun TaskProgress.withEvent(part: TaskEvent): TaskProgress {
    val version = part.version ?: currentVersion
    return copy(
        lastEvent = part.id,
        text = text.add(TextPiece(part.id, part.data, setOf(version))),
        versions = versions + version,
        currentVersion = version,
    )
}

internal fun TrafficState.acceptTaskEnd(
    event: TrafficEvent.TaskEnded,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideStream(event) { job, task ->
        if (task.lastEvent == 0L) {
            breakTask(job, task, "the stream ended without an event", nowMilliseconds)
        } else {
            beginScoring(job, task, nowMilliseconds)
        }
    }

private fun TrafficState.beginScoring(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val freed = copy(backends = backends.changed(task.server.orEmpty()) { it.released().succeeded() })
    val scoring = task.copy(phase = TaskPhase.SCORING, notBeforeMilliseconds = 0, isTextComplete = true)
    val inputs = "events=${task.lastEvent} weights=${task.versions.sorted()} attempts=${task.attempt}"
    val explanation = TrafficEffect.Explain(task.task.id, "text complete", task.server.orEmpty(), inputs)
    return Transition<TrafficState, TrafficEffect>(freed.withTask(job, scoring), listOf(explanation))
        .andThen { it.dispatchIfDue(job.record.id, task.task.id, nowMilliseconds) }
}

internal fun TrafficState.acceptTaskBreak(
    event: TrafficEvent.TaskBroke,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideStream(event) { job, task -> breakTask(job, task, event.detail, nowMilliseconds) }

/** Ends an attempt; the task goes on at another engine after the last event that arrived. */
internal fun TrafficState.breakTask(
    job: RunningJob,
    task: TaskProgress,
    detail: String,
    nowMilliseconds: Long,
    cancel: Boolean = false,
): Transition<TrafficState, TrafficEffect> {
    val server = task.server.orEmpty()
    val freed = copy(backends = backends.changed(server) { it.released().failed(nowMilliseconds) })
    val waiting = task.copy(phase = TaskPhase.WAITING)
    val inputs = "$detail; attempt=${task.attempt} lastEvent=${task.lastEvent}"
    return Transition(
        freed.withTask(job, waiting),
        listOfNotNull(
            TrafficEffect.Explain(task.task.id, "attempt failed", server, inputs),
            if (cancel) TrafficEffect.CancelTask(job.record.id, task.task.id) else null,
        ),
    )
}

/** Ends attempts of which nothing was heard for too long. */
internal fun TrafficState.breakSilentTasks(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.values) { state, job ->
        val silent = job.tasks.values.filter {
            it.phase == TaskPhase.RUNNING && nowMilliseconds - it.heardMilliseconds > silenceLimit(it)
        }
        state.decideEach(silent) { next, task ->
            val current = next.jobs[job.record.id]
            val detail = "nothing heard in time"
            current?.let { next.breakTask(it, task, detail, nowMilliseconds, cancel = true) } ?: Transition(next)
        }
    }

private fun silenceLimit(task: TaskProgress): Long =
    if (task.lastEvent == 0L) FIRST_EVENT_MILLISECONDS else NEXT_EVENT_MILLISECONDS

internal fun TrafficState.finishTask(
    job: RunningJob,
    task: TaskProgress,
    result: TaskResult,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = task.copy(phase = TaskPhase.DONE)
    val next = job.copy(tasks = job.tasks.put(task.task.id, done), unlisted = job.unlisted.add(result))
    return copy(jobs = jobs.put(job.record.id, next)).writeResults(job.record.id, nowMilliseconds)
}

internal fun RunningJob.running(
    task: String,
    attempt: Int,
): TaskProgress? = tasks[task]?.takeIf { it.phase == TaskPhase.RUNNING && it.attempt == attempt }

/** Pause after a task ran with an error, in milliseconds: about the work of three events. */
private const val ERROR_PAUSE_MILLISECONDS = 100L

/** Time within which the first event comes, also after a wait in the engine's queue, in milliseconds. */
private const val FIRST_EVENT_MILLISECONDS = 2_500L

/** Time within which the next event comes, in milliseconds; ten times the pause that a slow engine makes. */
private const val NEXT_EVENT_MILLISECONDS = 1_500L
