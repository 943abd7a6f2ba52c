/** Runs the tasks of a job: sends them to engines, resumes failed streams after the last event, completes them. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.work.Choice
import org.mulberrypin.decisions.work.describe
import org.mulberrypin.schema.generated.TaskResult

internal fun TrafficState.withTask(
    job: RunningJob,
    task: TaskProgress,
): TrafficState = copy(jobs = jobs.put(job.record.id, job.copy(tasks = job.tasks.put(task.task.id, task))))

internal fun TrafficState.dispatchIfDue(
    jobId: String,
    taskId: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[jobId]
    val task = job?.tasks?.get(taskId)
    return when {
        job == null || task == null || task.notBeforeMilliseconds > nowMilliseconds -> Transition(this)
        !knowsConfigurationOf(job.record) -> Transition(this)
        task.phase == TaskPhase.SCORING -> dispatchScoring(job, task, nowMilliseconds)
        task.phase == TaskPhase.WAITING -> dispatchTask(job, task, nowMilliseconds)
        else -> Transition(this)
    }
}

private fun TrafficState.dispatchTask(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val routingTable = routing ?: return Transition(this)
    val route = routingTable.findRoute(job.record.host, task.task.path)
    val chosen = route?.let { chooseEngine(job, it, task, nowMilliseconds) }
    return when {
        route == null -> finishTask(job, task, failedResult(task), nowMilliseconds)
        chosen != null -> sendTask(job, task, chosen, nowMilliseconds)
        lacksEngineWithVersion(job, route, task) -> restartTask(job, task, nowMilliseconds)
        else -> Transition(this)
    }
}

internal fun TrafficState.sendTask(
    job: RunningJob,
    task: TaskProgress,
    choice: Choice<Backend>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val jobId = job.record.id
    val chosen = choice.candidate
    val started = task.copy(
        phase = TaskPhase.RUNNING,
        attempt = task.attempt + 1,
        server = chosen.entry.id,
        lastActivityMilliseconds = nowMilliseconds,
        sentMilliseconds = nowMilliseconds,
        attemptStartEvent = task.lastEvent,
        currentVersion = chosen.versionOf(job.submission.model),
        expected = choice.expected,
    )
    val acquired = backends.updated(chosen.entry.id) {
        it.acquired(nowMilliseconds).copy(isIsolated = task.isIsolated())
    }
    val next = withTask(job, started).copy(backends = acquired).withColdSend(chosen.entry.id, nowMilliseconds)
    val inputs = "attempt=${started.attempt} job=$jobId inFlight=${chosen.inFlight} " +
        "weights=${started.currentVersion} minimum=${job.submission.minimumVersion} lastEvent=${task.lastEvent} " +
        "crashes=${task.crashes} hint=${task.lengthHint} ${choice.expected.describe()} " +
        chosen.work.describe(nowMilliseconds)
    return Transition(
        next,
        listOf(
            TrafficEffect.RecordDecision(task.task.id, "sent", chosen.entry.id, inputs),
            TrafficEffect.RunTask(
                job = jobId,
                task = task.task,
                attempt = started.attempt,
                address = chosen.entry.address,
                server = chosen.entry.id,
                host = job.record.host,
                team = job.record.team,
                lastEvent = task.lastEvent,
                needsNewConnection = task.isUnanswered,
                serverStartedWallMilliseconds = chosen.entry.startedWallMilliseconds,
                priority = taskPriority(job, task),
            ),
        ),
    )
}

private fun TrafficState.dispatchScoring(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val origin = Origin.Scoring(job.record.id, task.task.id)
    val call = task.task.scoring
    return when {
        call == null -> finishTask(job, task, completedResult(task, ""), nowMilliseconds)
        requests.values.any { it.origin == origin } -> Transition(this)
        else -> startScoring(job.record.id, task.task.id, call, task.crashes, nowMilliseconds) ?: Transition(this)
    }
}

/** Applies a stream event with [decide], unless the event belongs to an earlier attempt. */
internal inline fun TrafficState.decideCurrentAttempt(
    event: TrafficEvent.TaskStreamEvent,
    decide: (RunningJob, TaskProgress) -> Transition<TrafficState, TrafficEffect>,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[event.job]
    val task = job?.currentAttempt(event.task, event.attempt)
    return if (job == null || task == null) Transition(this) else decide(job, task)
}

internal fun TrafficState.handleTaskResponse(
    event: TrafficEvent.TaskResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideCurrentAttempt(event) { job, task ->
        if (event.status < HttpStatusCode.REDIRECTION) {
            handleStreamStart(job, task, event, nowMilliseconds)
        } else {
            handleTaskErrorStatus(job, task, event, nowMilliseconds)
        }
    }

private fun TrafficState.handleStreamStart(
    job: RunningJob,
    task: TaskProgress,
    event: TrafficEvent.TaskResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val version = event.version ?: task.currentVersion
    val started =
        task.copy(currentVersion = version, lastActivityMilliseconds = nowMilliseconds, isUnanswered = false)
    return if (version < job.submission.minimumVersion) {
        failTaskAttempt(job, started, "weights=$version below the minimum version", nowMilliseconds, cancel = true)
    } else {
        val accepting = copy(
            backends = backends.updated(task.server.orEmpty()) {
                it.copy(refusals = 0).withLoad(event.load, nowMilliseconds)
            },
        )
        Transition(accepting.withTask(job, started))
    }
}

private fun TrafficState.handleTaskErrorStatus(
    job: RunningJob,
    task: TaskProgress,
    event: TrafficEvent.TaskResponseReceived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val server = task.server.orEmpty()
    val detail = "status ${event.status}, notRun=${event.notRun}"
    val explanation = TrafficEffect.RecordDecision(task.task.id, "attempt failed", server, detail)
    val released = copy(
        backends = backends.updated(server) {
            val answered = it.answered(event.load, nowMilliseconds)
            if (event.notRun) answered.refused(nowMilliseconds) else answered.overloaded(nowMilliseconds)
        },
    )
    val errors = task.errors + if (event.status == HttpStatusCode.INTERNAL_ERROR) 1 else 0
    val limit = routing?.findRoute(job.record.host, task.task.path)?.attemptLimit ?: 1
    val isPermanent = !event.notRun && (event.status == HttpStatusCode.UNPROCESSABLE || errors >= limit)
    val waiting = task.copy(
        phase = TaskPhase.WAITING,
        errors = errors,
        isUnanswered = task.isUnanswered && !event.notRun,
        notBeforeMilliseconds = nowMilliseconds + if (event.notRun) 0 else ERROR_BACKOFF_MILLISECONDS,
    )
    val next = if (isPermanent) {
        released.finishTask(job, waiting, failedResult(waiting), nowMilliseconds)
    } else {
        Transition<TrafficState, TrafficEffect>(released.withTask(job, waiting))
            .andThen { it.dispatchIfDue(job.record.id, task.task.id, nowMilliseconds) }
    }
    return next.copy(effects = listOf(explanation) + next.effects)
}

internal fun TrafficState.handleTaskEvents(
    event: TrafficEvent.TaskEventsArrived,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideCurrentAttempt(event) { job, before ->
        val inOrder = event.events.withIndex().takeWhile { (index, next) -> next.id == before.lastEvent + 1 + index }
        val received = inOrder.fold(before) { task, (_, next) -> task.withEvent(next) }
        val task = if (inOrder.isEmpty()) received else received.copy(crashes = 0)
        val measured = withMeasuredPace(before, inOrder.size, nowMilliseconds).withoutIsolation(before, task)
        val outOfOrder = event.events.getOrNull(inOrder.size)
        when {
            hasMixedVersions(job, task) -> {
                measured.restartTask(job, task, nowMilliseconds)
            }

            outOfOrder == null -> {
                Transition(measured.withTask(job, task.copy(lastActivityMilliseconds = nowMilliseconds)))
            }

            else -> {
                val detail = "event ${outOfOrder.id} after event ${task.lastEvent}"
                measured.failTaskAttempt(job, task, detail, nowMilliseconds, cancel = true)
            }
        }
    }

/** Measures the pace of a task's engine; the first event of an attempt is left out, since it includes the queue. */
private fun TrafficState.withMeasuredPace(
    task: TaskProgress,
    events: Int,
    nowMilliseconds: Long,
): TrafficState {
    if (task.lastEvent == task.attemptStartEvent) return this
    val elapsed = nowMilliseconds - task.lastActivityMilliseconds
    return copy(
        backends = backends.updated(task.server.orEmpty()) {
            it.copy(pace = it.pace.measured(events, elapsed, nowMilliseconds))
        },
    )
}

/** Lets other tasks join an isolated one that has generated an event. */
private fun TrafficState.withoutIsolation(
    before: TaskProgress,
    task: TaskProgress,
): TrafficState {
    if (before.crashes == task.crashes) return this
    return copy(backends = backends.updated(task.server.orEmpty()) { it.copy(isIsolated = false) })
}

private fun TaskProgress.withEvent(event: TaskEvent): TaskProgress {
    val version = event.version ?: currentVersion
    return copy(
        lastEvent = event.id,
        text = text.add(TextPiece(event.id, event.data, setOf(version))),
        versions = versions + version,
        currentVersion = version,
    )
}

internal fun TrafficState.handleTaskEnd(
    event: TrafficEvent.TaskEnded,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideCurrentAttempt(event) { job, task ->
        if (task.lastEvent == 0L) {
            val suspect = task.withLostConnection(nowMilliseconds)
            failTaskAttempt(job, suspect, "the stream ended without an event", nowMilliseconds)
        } else {
            completeText(job, task, nowMilliseconds)
        }
    }

private fun TrafficState.completeText(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val server = task.server.orEmpty()
    val released = copy(backends = backends.updated(server) { it.answered(null, nowMilliseconds).succeeded() })
    val scoring = task.copy(phase = TaskPhase.SCORING, notBeforeMilliseconds = 0, isTextComplete = true)
    val inputs = "events=${task.lastEvent} weights=${task.versions.sorted()} attempts=${task.attempt}"
    val explanation = TrafficEffect.RecordDecision(task.task.id, "text complete", server, inputs)
    return Transition<TrafficState, TrafficEffect>(released.withTask(job, scoring), listOf(explanation))
        .andThen { it.learnText(job, task, nowMilliseconds) }
        .andThen { it.dispatchIfDue(job.record.id, task.task.id, nowMilliseconds) }
}

internal fun TrafficState.finishTask(
    job: RunningJob,
    task: TaskProgress,
    result: TaskResult,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val done = task.copy(phase = TaskPhase.DONE)
    val next = job.copy(tasks = job.tasks.put(task.task.id, done), pendingResults = job.pendingResults.add(result))
    return copy(jobs = jobs.put(job.record.id, next)).writeResults(job.record.id, nowMilliseconds)
}

internal fun RunningJob.currentAttempt(
    task: String,
    attempt: Int,
): TaskProgress? = tasks[task]?.takeIf { it.phase == TaskPhase.RUNNING && it.attempt == attempt }

/** Backoff after a task failed with an error, in milliseconds: about three times the interval between events. */
private const val ERROR_BACKOFF_MILLISECONDS = 100L
