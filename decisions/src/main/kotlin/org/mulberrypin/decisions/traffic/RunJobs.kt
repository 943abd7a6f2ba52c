/**
 * Decides the life of a batch job: acceptance, the listing of results, its end, and which instance runs it. The job's
 * row in the store names its owner; every write of results is conditional on that row, so that an instance that was
 * replaced can list nothing.
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

internal fun TrafficState.submitJob(event: TrafficEvent.JobSubmitted): Transition<TrafficState, TrafficEffect> {
    val known = records[event.record.id]
    return when {
        known != null && known.record.team == event.record.team -> {
            Transition(this, listOf(TrafficEffect.AcceptJob(event.request)))
        }

        draining -> {
            val explanation = TrafficEffect.Explain(event.record.id, "job refused", identity.name, "shutting down")
            Transition(
                this,
                listOf(explanation, TrafficEffect.Refuse(event.request, ReplyStatus.UNAVAILABLE, "shutting down")),
            )
        }

        else -> {
            val owner = ownerOf(event.record)
            val owned = event.record.copy(owner = owner.name, ownerIncarnation = owner.incarnation)
            val store = TrafficEffect.StoreJob(event.request, owned, event.submission, event.lengthHints)
            Transition(this, listOf(store))
        }
    }
}

internal fun TrafficState.acceptStoredJob(
    event: TrafficEvent.JobStored,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val seen = copy(records = records.put(event.record.id, KnownJob(event.record, event.version)))
    val loaded = TrafficEvent.JobLoaded(event.record, event.version, event.submission, event.lengthHints, emptyList())
    val accepted = listOf(TrafficEffect.AcceptJob(event.request))
    val isOwn = isOwn(event.record) && event.record.id !in jobs
    val next = if (isOwn) seen.loadJob(loaded, nowMilliseconds) else Transition(seen)
    return next.copy(effects = accepted + next.effects)
}

/** Starts or corrects a job from what the store has of it. */
internal fun TrafficState.loadJob(
    event: TrafficEvent.JobLoaded,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.record.id
    val known = jobs[id]
    if (isOutdated(event)) return Transition(this)
    if (!isOwn(event.record) || event.record.ended) return dropJob(id, "ended or owned by ${event.record.owner}")
    val listed = event.listed.toSet()
    val job = if (known == null) {
        val fresh = newJob(event, listed)
        fresh.copy(tasks = carried.continueIn(event.record.team, event.submission, fresh.tasks))
    } else {
        known.copy(
            record = event.record,
            version = event.version,
            listed = event.listed.size,
            unlisted = known.unlisted.filter { it.id !in listed }.toPersistentList(),
            writing = 0,
            reloading = false,
            isSaving = false,
        )
    }
    val explanation = TrafficEffect.Explain(
        id,
        "job loaded",
        identity.name,
        "version=${event.version} tasks=${job.tasks.size} listed=${job.listed} " +
            "begun=${job.tasks.values.count { it.phase != TaskPhase.DONE && it.lastEvent > 0 }}",
    )
    val noted = Transition<TrafficState, TrafficEffect>(
        copy(jobs = jobs.put(id, job), loading = loading.remove(id)),
        listOf(explanation),
    )
    return noted.andThen { it.writeResults(id, nowMilliseconds) }.andThen { it.dispatchTasks(nowMilliseconds) }
}

/** Whether rows were read before what is known of the job, as several readings may be under way. */
private fun TrafficState.isOutdated(event: TrafficEvent.JobLoaded): Boolean {
    val isSuperseded = (records[event.record.id]?.version ?: 0) > event.version
    return isSuperseded || jobs[event.record.id]?.reloading == false
}

private fun newJob(
    event: TrafficEvent.JobLoaded,
    listed: Set<String>,
): RunningJob {
    val saved = event.parts.groupBy { it.task }
    return RunningJob(
        record = event.record,
        version = event.version,
        submission = event.submission,
        order = taskOrder(event.submission, event.lengthHints),
        tasks = event.submission.tasks
            .associate { task ->
                val phase = if (task.id in listed) TaskPhase.DONE else TaskPhase.WAITING
                val fresh = TaskProgress(task, event.lengthHints[task.id] ?: 0, phase)
                val parts = saved[task.id].orEmpty()
                task.id to if (phase == TaskPhase.DONE) fresh else fresh.restored(parts)
            }.toPersistentMap(),
        listed = event.listed.size,
        unlisted = persistentListOf(),
    )
}

/** Loads a job that this instance owns and does not run yet, unless it is being loaded. */
private fun TrafficState.loadOwn(
    record: JobRecord,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val asked = loading[record.id] ?: Long.MIN_VALUE / 2
    val isOpen = isOwn(record) && !record.ended && !record.complete && record.id !in jobs
    if (!isOpen || nowMilliseconds - asked < RELOAD_REPEAT_MILLISECONDS) return Transition(this)
    return Transition(
        copy(loading = loading.put(record.id, nowMilliseconds)),
        listOf(TrafficEffect.ReloadJob(record)),
    )
}

/** Loads the jobs that this instance owns and does not run, such as those whose loading failed. */
internal fun TrafficState.loadOwnJobs(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    if (draining) return Transition(this)
    val own = records.values.filter { isOwn(it.record) }
    return decideEach(own) { state, known -> state.loadOwn(known.record, nowMilliseconds) }
}

/** Stops running a job; its open connections to engines are closed. */
internal fun TrafficState.dropJob(
    id: String,
    reason: String,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    val running = job.tasks.values.filter { it.phase == TaskPhase.RUNNING }
    val scorings = requests.values.filter { (it.origin as? Origin.Scoring)?.job == id }
    var table = backends
    running.forEach { task -> table = table.changed(task.server.orEmpty(), Backend::released) }
    scorings.mapNotNull { it.server }.forEach { table = table.changed(it, Backend::released) }
    var open = requests
    scorings.forEach { open = open.remove(it.request) }
    val inputs = "$reason; running=${running.size} listed=${job.listed} of ${job.tasks.size}"
    return Transition(
        copy(jobs = jobs.remove(id), backends = table, requests = open),
        listOf(TrafficEffect.Explain(id, "job dropped", identity.name, inputs)) +
            running.map { TrafficEffect.CancelTask(id, it.task.id) } +
            scorings.map { TrafficEffect.Cancel(it.request) },
    )
}

internal fun TrafficState.acceptJobRows(
    rows: List<JobRow>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> =
    decideEach(rows) { state, row -> state.acceptJobRow(row, nowMilliseconds) }

private fun TrafficState.acceptJobRow(
    row: JobRow,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val record = row.record
    val isOld = (records[row.id]?.version ?: 0) >= row.version
    return when {
        record == null -> forgetJob(row.id)

        isOld -> Transition(this)

        else -> copy(
            records = records.put(row.id, KnownJob(record, row.version)),
        ).follow(record, row.version, nowMilliseconds)
    }
}

private fun TrafficState.forgetJob(id: String): Transition<TrafficState, TrafficEffect> {
    val dropped = dropJob(id, "removed")
    return dropped.copy(state = dropped.state.copy(records = dropped.state.records.remove(id)))
}

/** Starts, stops or goes on with a job as its row says. */
private fun TrafficState.follow(
    record: JobRecord,
    version: Long,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[record.id]
    return when {
        job == null -> {
            loadOwn(record, nowMilliseconds)
        }

        record.ended || !isOwn(record) -> {
            val kept = if (record.ended) carryOver(job, nowMilliseconds) else this
            kept.dropJob(record.id, "ended=${record.ended} owner=${record.owner}")
        }

        job.writing > 0 || job.reloading -> {
            Transition(this)
        }

        else -> {
            // A save that began under the earlier version of the row is refused, or its answer is not taken.
            val current = job.copy(record = record, version = maxOf(job.version, version), isSaving = false)
            copy(jobs = jobs.put(record.id, current)).writeResults(record.id, nowMilliseconds)
        }
    }
}

/** Writes the results that wait, one write of a job at a time. */
internal fun TrafficState.writeResults(
    id: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id] ?: return Transition(this)
    if (job.unlisted.isEmpty() || job.writing > 0 || job.reloading) return Transition(this)
    val results = job.unlisted.take(LARGEST_WRITE)
    val isLast = job.listed + results.size >= job.tasks.size
    val record = if (isLast) job.record.copy(complete = true) else job.record
    val batch = ResultBatch(record, job.version, job.listed, results)
    val writing = job.copy(writing = results.size, reloadMilliseconds = nowMilliseconds)
    return Transition(copy(jobs = jobs.put(id, writing)), listOf(TrafficEffect.WriteResults(batch)))
}

internal fun TrafficState.acceptWritten(
    event: TrafficEvent.ResultsWritten,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val job = jobs[id]?.takeIf { it.awaits(event.batch) } ?: return Transition(this)
    val written = job.unlisted.take(job.writing)
    val rest = job.unlisted.drop(job.writing).toPersistentList()
    val next = job.copy(
        listed = job.listed + written.size,
        unlisted = rest,
        writing = 0,
        version = event.version,
    )
    val explanations = written.map {
        TrafficEffect.Explain(
            it.id,
            "result listed ${it.state}",
            id,
            "weights=${it.versions} listed=${next.listed}",
        )
    }
    if (next.listed >= next.tasks.size) {
        return Transition<TrafficState, TrafficEffect>(this, explanations).andThen { it.dropJob(id, "complete") }
    }
    return Transition<TrafficState, TrafficEffect>(copy(jobs = jobs.put(id, next)), explanations)
        .andThen { it.writeResults(id, nowMilliseconds) }
}

/** Whether [batch] is the write under way, and not one of an earlier ownership of the job. */
private fun RunningJob.awaits(batch: ResultBatch): Boolean =
    writing == batch.results.size && listed == batch.firstPosition && version == batch.version

/** After a write whose outcome is not certain, the rows of the job decide. */
internal fun TrafficState.acceptNotWritten(
    event: TrafficEvent.ResultsNotWritten,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val job = jobs[id]?.takeIf { it.awaits(event.batch) } ?: return Transition(this)
    val reloading = job.copy(reloading = true, reloadMilliseconds = nowMilliseconds + RELOAD_PAUSE_MILLISECONDS)
    return Transition(
        copy(jobs = jobs.put(id, reloading)),
        listOf(TrafficEffect.Explain(id, "results not written", "store", event.detail)),
    )
}

/** Reads rows again where an outcome is open, and gives up tasks whose time is over. */
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
    if (!job.reloading || job.reloadMilliseconds > nowMilliseconds) return Transition(this)
    val waiting = job.copy(reloadMilliseconds = nowMilliseconds + RELOAD_REPEAT_MILLISECONDS)
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
        if (current == null) Transition(state) else state.finishTask(current, task, failed(task), nowMilliseconds)
    }
}

private fun TrafficState.isExpired(
    job: RunningJob,
    wallMilliseconds: Long,
): Boolean {
    val expiry = routing?.findRoute(job.record.host, job.record.path)?.taskExpiryMilliseconds ?: 0L
    val age = wallMilliseconds - job.record.submittedWallMilliseconds
    return expiry > 0 && age >= expiry + EXPIRY_SLACK_MILLISECONDS
}

/** Results in one write; the store takes 100 rows in one transaction, and a result may take several. */
private const val LARGEST_WRITE = 12

/** Pause before rows are read again after a failed write, in milliseconds. */
private const val RELOAD_PAUSE_MILLISECONDS = 200L

/** Time after which rows are read again when no answer came, in milliseconds. */
private const val RELOAD_REPEAT_MILLISECONDS = 1_200L

/** Slack for clocks of the time of day that differ between instances, in milliseconds. */
private const val EXPIRY_SLACK_MILLISECONDS = 1_000L
