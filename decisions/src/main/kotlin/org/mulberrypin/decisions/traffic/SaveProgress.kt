/**
 * Saves the output of unfinished tasks in the store, and restores it when another instance takes the job over. Each
 * save contains the events since the previous save and is conditional on the version of the job's row.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.TaskPart

/** Saves the events and errors received since the last save, for each job that is due. */
internal fun TrafficState.saveProgress(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.keys) { state, id -> state.saveJob(id, nowMilliseconds) }

private fun TrafficState.saveJob(
    id: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id]
    val mustWait = job == null || job.isSaving || job.isReloading ||
        nowMilliseconds - job.lastSaveMilliseconds < SAVE_INTERVAL_MILLISECONDS
    if (job == null || mustWait) return Transition(this)
    val parts = job.newParts {
        it.lastEvent - it.lastSavedEvent >= MIN_EVENTS_PER_SAVE || it.errors > it.savedErrors
    }
    if (parts.isEmpty()) return Transition(this)
    val saving = job.copy(isSaving = true, lastSaveMilliseconds = nowMilliseconds)
    val batch = ProgressBatch(job.record, job.version, parts)
    return Transition(copy(jobs = jobs.put(id, saving)), listOf(TrafficEffect.SaveProgress(batch)))
}

/** Unsaved parts of all unfinished tasks for which [isDue] returns true, up to the size limits of one write. */
internal fun RunningJob.newParts(isDue: (TaskProgress) -> Boolean): List<TaskPart> {
    var remainingCharacters = MAX_CHARACTERS_PER_SAVE
    return tasks.values
        .filter { it.phase != TaskPhase.DONE && isDue(it) }
        .map { it.newPart(version) }
        .take(MAX_PARTS_PER_SAVE)
        .takeWhile { part ->
            remainingCharacters -= part.text.length
            remainingCharacters >= 0
        }
}

private fun TaskProgress.newPart(ownership: Long): TaskPart {
    var remainingCharacters = MAX_CHARACTERS_PER_PART
    val events = text
        .filter { it.lastEvent > lastSavedEvent }
        .takeWhile { piece ->
            remainingCharacters -= piece.data.length + 1
            remainingCharacters >= 0
        }
    val last = events.lastOrNull()?.lastEvent ?: lastSavedEvent
    return TaskPart(
        task = task.id,
        firstEvent = lastSavedEvent + 1,
        lastEvent = last,
        text = events.joinToString("\n") { it.data },
        versions = text
            .filter { it.lastEvent <= last }
            .flatMapTo(HashSet()) { it.versions }
            .sorted(),
        currentVersion = currentVersion,
        errors = errors,
        complete = isTextComplete && last == lastEvent,
        ownership = ownership,
        restarts = restarts,
    )
}

internal fun TrafficState.handleProgressSaved(
    event: TrafficEvent.ProgressSaved,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[event.batch.record.id]?.takeIf { it.isSaving && it.version == event.batch.version }
        ?: return Transition(this)
    var tasks = job.tasks
    for (part in event.batch.parts) {
        val task = tasks[part.task]?.takeIf { it.restarts == part.restarts } ?: continue
        tasks = tasks.put(part.task, task.copy(lastSavedEvent = part.lastEvent, savedErrors = part.errors))
    }
    return Transition(copy(jobs = jobs.put(job.record.id, job.copy(isSaving = false, tasks = tasks))))
}

/** Ends a save that may have failed; the next save contains the same events again. */
internal fun TrafficState.handleProgressSaveFailure(
    event: TrafficEvent.ProgressSaveFailed,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val explanation = TrafficEffect.RecordDecision(id, "progress not saved", "store", event.detail)
    val job = jobs[id]?.takeIf { it.isSaving && it.version == event.batch.version }
        ?: return Transition(this, listOf(explanation))
    return Transition(copy(jobs = jobs.put(id, job.copy(isSaving = false))), listOf(explanation))
}

/**
 * Restores a task from its saved parts, ordered by first event. A part is used if it directly follows the previous
 * part, belongs to the same restart of the task and was not written by an earlier owner than the previous part. Other
 * parts are left over from discarded output.
 */
internal fun TaskProgress.restored(parts: List<TaskPart>): TaskProgress {
    var ownership = 0L
    var progress = this
    for (part in parts) {
        val isSameOutput = part.firstEvent == 1L || part.restarts == progress.restarts
        val isNext = part.firstEvent == progress.lastEvent + 1 && part.ownership >= ownership
        if (!isSameOutput || !isNext || progress.isTextComplete) continue
        ownership = part.ownership
        progress = progress.with(part)
    }
    return progress
}

private fun TaskProgress.with(part: TaskPart): TaskProgress {
    val hasEvents = part.lastEvent >= part.firstEvent
    return copy(
        phase = if (part.complete) TaskPhase.SCORING else phase,
        lastEvent = part.lastEvent,
        lastSavedEvent = part.lastEvent,
        text = if (hasEvents) text.add(TextPiece(part.lastEvent, part.text, part.versions.toSet())) else text,
        versions = part.versions.toSet(),
        currentVersion = part.currentVersion,
        errors = part.errors,
        savedErrors = part.errors,
        restarts = part.restarts,
        isTextComplete = part.complete,
    )
}

/** Minimum time between two saves of a job, in milliseconds; bounds the output that a new owner has to regenerate. */
private const val SAVE_INTERVAL_MILLISECONDS = 500L

/** Minimum number of unsaved events for a save: about what an engine usually generates in one interval. */
private const val MIN_EVENTS_PER_SAVE = 12L

/** Maximum number of parts in one write; the store allows 100 rows per transaction. */
private const val MAX_PARTS_PER_SAVE = 60

/** Maximum number of characters in one write: up to three bytes each, and the store allows 1 MB of base64. */
internal const val MAX_CHARACTERS_PER_SAVE = 240_000

/** Maximum number of characters in one part: up to three bytes each, and the store allows 64 KiB of base64. */
private const val MAX_CHARACTERS_PER_PART = 15_000
