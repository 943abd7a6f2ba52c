/**
 * Decides which texts of unfinished tasks are saved in the store, and what a new owner of their job takes from there.
 * Each save holds the events since the one before, and counts only while the job's row has not changed.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.TaskPart

/** Saves what has arrived since the last save of each job. */
internal fun TrafficState.saveProgress(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.keys) { state, id -> state.saveJob(id, nowMilliseconds) }

private fun TrafficState.saveJob(
    id: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val job = jobs[id]
    val isEarly = job == null || job.isSaving || job.reloading ||
        nowMilliseconds - job.savedMilliseconds < SAVE_MILLISECONDS
    if (job == null || isEarly) return Transition(this)
    val parts = job.newParts { it.lastEvent - it.savedEvent >= SAVED_EVENTS }
    if (parts.isEmpty()) return Transition(this)
    val saving = job.copy(isSaving = true, savedMilliseconds = nowMilliseconds)
    val batch = ProgressBatch(job.record, job.version, parts)
    return Transition(copy(jobs = jobs.put(id, saving)), listOf(TrafficEffect.SaveProgress(batch)))
}

/** Parts of all tasks that run or are being scored and are worth a save, as far as one write takes them. */
internal fun RunningJob.newParts(isDue: (TaskProgress) -> Boolean): List<TaskPart> {
    var room = LARGEST_SAVE_CHARACTERS
    return tasks.values
        .filter { it.phase != TaskPhase.DONE && isDue(it) }
        .map { it.newPart(version) }
        .take(LARGEST_SAVE_PARTS)
        .takeWhile { part ->
            room -= part.text.length
            room >= 0
        }
}

private fun TaskProgress.newPart(ownership: Long): TaskPart {
    var room = LARGEST_PART_CHARACTERS
    val events = text
        .filter { it.lastEvent > savedEvent }
        .takeWhile { piece ->
            room -= piece.data.length + 1
            room >= 0
        }
    val last = events.lastOrNull()?.lastEvent ?: savedEvent
    return TaskPart(
        task = task.id,
        firstEvent = savedEvent + 1,
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

internal fun TrafficState.acceptSaved(event: TrafficEvent.ProgressSaved): Transition<TrafficState, TrafficEffect> {
    val job = jobs[event.batch.record.id]?.takeIf { it.isSaving && it.version == event.batch.version }
        ?: return Transition(this)
    var tasks = job.tasks
    for (part in event.batch.parts) {
        val task = tasks[part.task]?.takeIf { it.restarts == part.restarts } ?: continue
        tasks = tasks.put(part.task, task.copy(savedEvent = part.lastEvent))
    }
    return Transition(copy(jobs = jobs.put(job.record.id, job.copy(isSaving = false, tasks = tasks))))
}

/** After a save whose outcome is not certain, the next one holds the same events again. */
internal fun TrafficState.acceptNotSaved(
    event: TrafficEvent.ProgressNotSaved,
): Transition<TrafficState, TrafficEffect> {
    val id = event.batch.record.id
    val explanation = TrafficEffect.Explain(id, "progress not saved", "store", event.detail)
    val job = jobs[id]?.takeIf { it.isSaving && it.version == event.batch.version }
        ?: return Transition(this, listOf(explanation))
    return Transition(copy(jobs = jobs.put(id, job.copy(isSaving = false))), listOf(explanation))
}

/**
 * Starts a task from its saved parts, in the order of their first events. A part counts when it goes on where the one
 * before ended, belongs to the same text and was not written by an earlier owner than that one; anything else is left
 * of a replaced text.
 */
internal fun TaskProgress.restored(parts: List<TaskPart>): TaskProgress {
    var ownership = 0L
    var progress = this
    for (part in parts) {
        val isSameText = part.firstEvent == 1L || part.restarts == progress.restarts
        val isNext = part.firstEvent == progress.lastEvent + 1 && part.ownership >= ownership
        if (!isSameText || !isNext || progress.isTextComplete) continue
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
        savedEvent = part.lastEvent,
        text = if (hasEvents) text.add(TextPiece(part.lastEvent, part.text, part.versions.toSet())) else text,
        versions = part.versions.toSet(),
        currentVersion = part.currentVersion,
        errors = part.errors,
        restarts = part.restarts,
        isTextComplete = part.complete,
    )
}

/** Time between two saves of a job, in milliseconds: what a new owner may have to generate again. */
private const val SAVE_MILLISECONDS = 500L

/** Events since the last save from which a task is saved: about those of one interval at the usual pace of engines. */
private const val SAVED_EVENTS = 12L

/** Parts in one write; the store takes 100 rows in one transaction. */
private const val LARGEST_SAVE_PARTS = 60

/** Characters in one write; each takes at most three bytes, and the store takes 1 MB in base64. */
private const val LARGEST_SAVE_CHARACTERS = 240_000

/** Characters in one part; each takes at most three bytes, and the store takes 64 KiB in base64. */
private const val LARGEST_PART_CHARACTERS = 15_000
