/**
 * Runs batch jobs: acceptance, loading, writing of results and completion. The job's row in the store names its owner,
 * and every write of results is conditional on the version of that row, so that a replaced owner cannot add results.
 */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.TaskResult

internal fun TrafficState.handleJobSubmitted(
    event: TrafficEvent.JobSubmitted,
): Transition<TrafficState, TrafficEffect> {
    val stored = storedJobs[event.record.id]
    return when {
        stored != null && stored.record.team == event.record.team -> {
            Transition(this, listOf(TrafficEffect.AcceptJob(event.request)))
        }

        draining -> {
            val explanation = TrafficEffect.RecordDecision(
                event.record.id,
                "job refused",
                identity.name,
                "shutting down",
            )
            Transition(
                this,
                listOf(explanation, TrafficEffect.Reject(event.request, HttpStatusCode.UNAVAILABLE, "shutting down")),
            )
        }

        else -> {
            val owner = ownerOf(event.record)
            val owned = event.record.copy(
                owner = owner.name,
                ownerIncarnation = owner.incarnation,
                configurationVersion = routing?.version ?: 0,
            )
            val store = TrafficEffect.StoreJob(event.request, owned, event.submission, event.lengthHints)
            Transition(this, listOf(store))
        }
    }
}

internal fun TrafficState.handleJobStored(
    event: TrafficEvent.JobStored,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val next = if (isOwn(event.record) && hasNeverRun(event)) {
        val loaded =
            TrafficEvent.JobLoaded(event.record, event.version, event.submission, event.lengthHints, emptyList())
        copy(storedJobs = storedJobs.put(event.record.id, StoredJob(event.record, event.version)))
            .loadJob(loaded, nowMilliseconds)
    } else {
        handleJobRow(JobRow(event.record.id, event.record, event.version), nowMilliseconds)
    }
    return next.copy(effects = listOf(TrafficEffect.AcceptJob(event.request)) + next.effects)
}

/**
 * Whether no task of a stored job can have run here. The feed may tell of a job's row long before the outcome of its
 * write is known, so that the job may be running, complete or released by then.
 */
private fun TrafficState.hasNeverRun(event: TrafficEvent.JobStored): Boolean {
    val known = storedJobs[event.record.id]
    val isUnchanged = known == null || (known.version == event.version && !draining)
    return isUnchanged && event.record.id !in jobs
}

/** Starts a job from its rows in the store, or updates a running job to match them. */
internal fun TrafficState.loadJob(
    event: TrafficEvent.JobLoaded,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val record = event.record
    return when {
        isOutdated(event) -> Transition(this)
        record.complete -> copy(loading = loading.remove(record.id)).dropJob(record.id, "complete")
        !isOwn(record) || record.ended -> dropJob(record.id, "ended or owned by ${record.owner}")
        else -> startOrUpdateJob(event, nowMilliseconds)
    }
}

private fun TrafficState.startOrUpdateJob(
    event: TrafficEvent.JobLoaded,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.record.id
    val running = jobs[id]
    val storedResults = event.storedResults.toSet()
    val job = if (running == null) {
        val fresh = newJob(event, storedResults)
        fresh.copy(tasks = carriedTasks.resumeIn(event.record.team, event.submission, fresh.tasks))
    } else {
        running.copy(
            record = event.record,
            version = event.version,
            storedResultCount = event.storedResults.size,
            pendingResults = running.pendingResults.filter { it.id !in storedResults }.toPersistentList(),
            resultsBeingWritten = 0,
            isReloading = false,
            isSaving = false,
        )
    }
    val explanation = TrafficEffect.RecordDecision(
        id,
        "job loaded",
        identity.name,
        "version=${event.version} tasks=${job.tasks.size} listed=${job.storedResultCount} " +
            "begun=${job.tasks.values.count { it.phase != TaskPhase.DONE && it.lastEvent > 0 }} " +
            "accepted under configuration ${event.record.configurationVersion}, in force here ${routing?.version ?: 0}",
    )
    val loaded = Transition<TrafficState, TrafficEffect>(
        copy(jobs = jobs.put(id, job), loading = loading.remove(id)),
        listOf(explanation),
    )
    return loaded
        .andThen { it.stopListedTasks(id, storedResults) }
        .andThen { it.writeResults(id, nowMilliseconds) }
        .andThen { it.dispatchTasks(nowMilliseconds) }
}

/** Whether the loaded rows are older than the known state of the job, since several reads may be pending at once. */
private fun TrafficState.isOutdated(event: TrafficEvent.JobLoaded): Boolean {
    val isSuperseded = (storedJobs[event.record.id]?.version ?: 0) > event.version
    return isSuperseded || jobs[event.record.id]?.isReloading == false
}

private fun newJob(
    event: TrafficEvent.JobLoaded,
    storedResults: Set<String>,
): RunningJob {
    val saved = event.parts.groupBy { it.task }
    return RunningJob(
        record = event.record,
        version = event.version,
        submission = event.submission,
        order = taskOrder(event.submission, event.lengthHints),
        tasks = event.submission.tasks
            .associate { task ->
                val phase = if (task.id in storedResults) TaskPhase.DONE else TaskPhase.WAITING
                val fresh = TaskProgress(task, event.lengthHints[task.id] ?: 0, phase)
                val parts = saved[task.id].orEmpty()
                task.id to if (phase == TaskPhase.DONE) fresh else fresh.restored(parts)
            }.toPersistentMap(),
        storedResultCount = event.storedResults.size,
        pendingResults = persistentListOf(),
    )
}

/** Loads a job that this instance owns but does not run, unless it is already being loaded. */
private fun TrafficState.loadOwnJob(
    record: JobRecord,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val requestedMilliseconds = loading[record.id] ?: Long.MIN_VALUE / 2
    val isOpen = isOwn(record) && !record.ended && !record.complete && record.id !in jobs
    if (!isOpen || nowMilliseconds - requestedMilliseconds < RELOAD_RETRY_MILLISECONDS) return Transition(this)
    return Transition(
        copy(loading = loading.put(record.id, nowMilliseconds)),
        listOf(TrafficEffect.ReloadJob(record)),
    )
}

/** Loads all jobs that this instance owns but does not run, including those whose loading failed. */
internal fun TrafficState.loadOwnJobs(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    if (draining) return Transition(this)
    val own = storedJobs.values.filter { isOwn(it.record) }
    return decideEach(own) { state, stored -> state.loadOwnJob(stored.record, nowMilliseconds) }
}

internal fun TrafficState.handleJobRows(
    rows: List<JobRow>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideEach(rows) { state, row -> state.handleJobRow(row, nowMilliseconds) }

private fun TrafficState.handleJobRow(
    row: JobRow,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val record = row.record
    val isOutdatedRow = (storedJobs[row.id]?.version ?: 0) >= row.version
    return when {
        record == null -> removeJob(row.id)

        isOutdatedRow -> Transition(this)

        else -> copy(
            storedJobs = storedJobs.put(row.id, StoredJob(record, row.version)),
        ).applyRow(record, row.version, nowMilliseconds)
    }
}

private fun TrafficState.removeJob(id: String): Transition<TrafficState, TrafficEffect> {
    val dropped = dropJob(id, "removed")
    return dropped.copy(state = dropped.state.copy(storedJobs = dropped.state.storedJobs.remove(id)))
}

/** Starts, stops or updates a job according to its row. */
private fun TrafficState.applyRow(
    record: JobRecord,
    version: Long,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[record.id]
    return when {
        job == null -> {
            loadOwnJob(record, nowMilliseconds)
        }

        record.ended || !isOwn(record) -> {
            val updated = if (record.ended) keepIncompleteTasks(job, nowMilliseconds) else this
            updated.dropJob(record.id, "ended=${record.ended} owner=${record.owner}")
        }

        job.resultsBeingWritten > 0 || job.isReloading -> {
            Transition(this)
        }

        else -> {
            // A save that started with the earlier row version fails or its response is ignored, so no save is pending.
            val current = job.copy(record = record, version = maxOf(job.version, version), isSaving = false)
            copy(jobs = jobs.put(record.id, current)).writeResults(record.id, nowMilliseconds)
        }
    }
}

/** Writes pending results; each job has at most one write at a time. */
internal fun TrafficState.writeResults(
    id: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    if (job.pendingResults.isEmpty() || job.resultsBeingWritten > 0 || job.isReloading) return Transition(this)
    val results = job.resultsOfOneWrite()
    val isLast = job.storedResultCount + results.size >= job.tasks.size
    val record = if (isLast) job.record.copy(complete = true) else job.record
    val batch = ResultBatch(record, job.version, job.storedResultCount, results)
    val updated = job.copy(resultsBeingWritten = results.size, reloadMilliseconds = nowMilliseconds)
    return Transition(copy(jobs = jobs.put(id, updated)), listOf(TrafficEffect.WriteResults(batch)))
}

/** The first pending results, at least one, up to the size limits of one write. */
private fun RunningJob.resultsOfOneWrite(): List<TaskResult> {
    var remainingCharacters = MAX_CHARACTERS_PER_SAVE
    val fitting = pendingResults.take(MAX_RESULTS_PER_WRITE).takeWhile { result ->
        remainingCharacters -= result.text.length
        remainingCharacters >= 0
    }
    return fitting.ifEmpty { pendingResults.take(1) }
}

internal fun TrafficState.handleResultsWritten(
    event: TrafficEvent.ResultsWritten,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val job = jobs[id]?.takeIf { it.isWriting(event.batch) } ?: return Transition(this)
    val written = job.pendingResults.take(job.resultsBeingWritten)
    val rest = job.pendingResults.drop(job.resultsBeingWritten).toPersistentList()
    val next = job.copy(
        storedResultCount = job.storedResultCount + written.size,
        pendingResults = rest,
        resultsBeingWritten = 0,
        version = event.version,
    )
    val explanations = written.map {
        TrafficEffect.RecordDecision(
            it.id,
            "result listed ${it.state}",
            id,
            "weights=${it.versions} listed=${next.storedResultCount}",
        )
    }
    if (next.storedResultCount >= next.tasks.size) {
        val complete = copy(storedJobs = storedJobs.put(id, StoredJob(event.batch.record, event.version)))
        return Transition<TrafficState, TrafficEffect>(complete, explanations).andThen { it.dropJob(id, "complete") }
    }
    return Transition<TrafficState, TrafficEffect>(copy(jobs = jobs.put(id, next)), explanations)
        .andThen { it.writeResults(id, nowMilliseconds) }
}

/** Whether [batch] is the pending write, and not one from an earlier ownership of the job. */
private fun RunningJob.isWriting(batch: ResultBatch): Boolean =
    resultsBeingWritten == batch.results.size && storedResultCount == batch.firstPosition && version == batch.version

/** After a write that may have failed, rereads the rows of the job to determine its outcome. */
internal fun TrafficState.handleResultsWriteFailure(
    event: TrafficEvent.ResultsWriteFailed,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val job = jobs[id]?.takeIf { it.isWriting(event.batch) } ?: return Transition(this)
    val reloading = job.copy(isReloading = true, reloadMilliseconds = nowMilliseconds + RELOAD_DELAY_MILLISECONDS)
    return Transition(
        copy(jobs = jobs.put(id, reloading)),
        listOf(TrafficEffect.RecordDecision(id, "results not written", "store", event.detail)),
    )
}

/** Rereads the rows of jobs with a write of unknown outcome, and fails tasks that have expired. */
internal fun TrafficState.continueJobs(
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.keys) { state, id ->
        state.continueJob(id, nowMilliseconds).andThen { it.expireTasks(id, nowMilliseconds, wallMilliseconds) }
    }

private fun TrafficState.continueJob(
    id: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    if (!job.isReloading || job.reloadMilliseconds > nowMilliseconds) return Transition(this)
    val waiting = job.copy(reloadMilliseconds = nowMilliseconds + RELOAD_RETRY_MILLISECONDS)
    return Transition(copy(jobs = jobs.put(id, waiting)), listOf(TrafficEffect.ReloadJob(job.record)))
}

private fun TrafficState.expireTasks(
    id: String,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id]?.takeIf { isExpired(it, wallMilliseconds) } ?: return Transition(this)
    val waiting = job.tasks.values.filter { it.phase == TaskPhase.WAITING }
    return decideEach(waiting) { state, task ->
        val current = state.jobs[id]
        if (current == null) Transition(state) else state.finishTask(current, task, failedResult(task), nowMilliseconds)
    }
}

private fun TrafficState.isExpired(
    job: RunningJob,
    wallMilliseconds: Long,
): Boolean {
    if (!knowsConfigurationOf(job.record)) return false
    val expiry = routing?.findRoute(job.record.host, job.record.path)?.taskExpiryMilliseconds ?: 0L
    val age = wallMilliseconds - job.record.submittedWallMilliseconds
    return expiry > 0 && age >= expiry + CLOCK_SKEW_ALLOWANCE_MILLISECONDS
}

/** Maximum number of results in one write; a result may take several of the 100 rows that the store allows. */
private const val MAX_RESULTS_PER_WRITE = 12

/** Delay before rows are reread after a failed write, in milliseconds. */
private const val RELOAD_DELAY_MILLISECONDS = 200L

/** Time after which rows are reread if the previous read got no response, in milliseconds. */
private const val RELOAD_RETRY_MILLISECONDS = 1_200L

/** Allowance for wall clocks that differ between instances, in milliseconds. */
private const val CLOCK_SKEW_ALLOWANCE_MILLISECONDS = 1_000L
