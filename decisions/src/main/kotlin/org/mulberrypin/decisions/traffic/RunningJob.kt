package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.TaskResult

/**
 * A batch job that this instance runs.
 *
 * @property version version of the job's row, on which every write of results is conditional
 * @property order identifiers of the tasks, the first to start first
 * @property listed number of results that the store has
 * @property unlisted results that wait to be written, oldest first
 * @property writing number of results in the write under way; 0 when there is none
 * @property isSaving true while a save of the progress of tasks is under way
 * @property savedMilliseconds when the last save began
 * @property reloading true while the rows of the job are read again, since the outcome of a write is not known
 */
public data class RunningJob(
    val record: JobRecord,
    val version: Long,
    val submission: JobSubmission,
    val order: List<String>,
    val tasks: PersistentMap<String, TaskProgress>,
    val listed: Int = 0,
    val unlisted: PersistentList<TaskResult> = persistentListOf(),
    val writing: Int = 0,
    val reloading: Boolean = false,
    val reloadMilliseconds: Long = 0,
    val isSaving: Boolean = false,
    val savedMilliseconds: Long = 0,
)

/** How far a task is. */
public enum class TaskPhase {
    /** Waits for an engine. */
    WAITING,

    /** Runs at an engine. */
    RUNNING,

    /** Its text is complete and is being scored. */
    SCORING,

    /** Its result is known. */
    DONE,
}

/**
 * The progress of a task.
 *
 * @property lengthHint expected number of output tokens; 0 when unknown
 * @property attempt number of the current or last attempt
 * @property lastEvent number of the last event that arrived
 * @property savedEvent number of the last event that the store has
 * @property text data of the events, in order
 * @property currentVersion version of the weights that generates the events of the current attempt
 * @property errors answers of status 500
 * @property heardMilliseconds when the engine was last heard
 * @property restarts how often the text was begun anew
 * @property isTextComplete true once an engine has ended the stream properly
 */
public data class TaskProgress(
    val task: JobTask,
    val lengthHint: Long,
    val phase: TaskPhase = TaskPhase.WAITING,
    val attempt: Int = 0,
    val server: String? = null,
    val notBeforeMilliseconds: Long = 0,
    val lastEvent: Long = 0,
    val savedEvent: Long = 0,
    val text: PersistentList<TextPiece> = persistentListOf(),
    val versions: Set<Long> = emptySet(),
    val currentVersion: Long = 0,
    val errors: Int = 0,
    val heardMilliseconds: Long = 0,
    val restarts: Int = 0,
    val isTextComplete: Boolean = false,
)

/**
 * Data of one event, or of several that were restored together.
 *
 * @property lastEvent number of the last of them
 * @property versions versions of the weights that generated them
 */
public data class TextPiece(
    val lastEvent: Long,
    val data: String,
    val versions: Set<Long>,
)
