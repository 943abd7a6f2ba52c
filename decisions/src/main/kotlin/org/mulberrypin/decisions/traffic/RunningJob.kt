package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.decisions.work.ExpectedCompletion
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.TaskResult

/**
 * A batch job that this instance runs.
 *
 * @property version version of the job's row; every write of results is conditional on it
 * @property order identifiers of the tasks in the order in which they start
 * @property storedResultCount number of results in the store
 * @property pendingResults results that have not been written to the store yet, oldest first
 * @property resultsBeingWritten number of results in the pending write; 0 if there is none
 * @property isSaving true while a save of task progress is pending
 * @property lastSaveMilliseconds start time of the last save of task progress
 * @property isReloading true while the rows of the job are reread because the outcome of a write is unknown
 * @property reloadMilliseconds earliest time at which the rows are reread
 */
public data class RunningJob(
    val record: JobRecord,
    val version: Long,
    val submission: JobSubmission,
    val order: List<String>,
    val tasks: PersistentMap<String, TaskProgress>,
    val storedResultCount: Int = 0,
    val pendingResults: PersistentList<TaskResult> = persistentListOf(),
    val resultsBeingWritten: Int = 0,
    val isReloading: Boolean = false,
    val reloadMilliseconds: Long = 0,
    val isSaving: Boolean = false,
    val lastSaveMilliseconds: Long = 0,
)

/** Processing state of a task. */
public enum class TaskPhase {
    /** Waiting for an engine. */
    WAITING,

    /** Running on an engine. */
    RUNNING,

    /** Output complete; waiting for the scoring call. */
    SCORING,

    /** Result available. */
    DONE,
}

/**
 * Progress of a task.
 *
 * @property lengthHint expected number of output tokens; 0 when unknown
 * @property attempt number of the current or last attempt, starting at 1; 0 before the first
 * @property notBeforeMilliseconds earliest time of the next attempt or scoring call
 * @property lastEvent number of the last event received
 * @property lastSavedEvent number of the last event that is saved in the store
 * @property text data of the received events, in order
 * @property currentVersion weight version that generates the events of the current attempt
 * @property errors number of responses with status 500
 * @property savedErrors number of these responses that is saved in the store
 * @property scoringErrors number of responses with status 500 to its scoring calls
 * @property crashes consecutive attempts, of the task or of its scoring call, whose connections were lost
 * @property lastActivityMilliseconds time of the last dispatch, response or event, for detecting a stalled engine
 * @property sentMilliseconds time at which the current attempt was sent
 * @property attemptStartEvent number of the last event received before the current attempt
 * @property restarts number of times the output was discarded and generation started over
 * @property isUnanswered true if an attempt got another answer than its own, or none, though its connection was not
 *   lost; until an engine starts a stream or refuses the task
 * @property isTextComplete true once an engine has ended the stream without an error
 * @property expected expected completion of the current attempt, counted from [sentMilliseconds]
 * @property move what the last move of the running text was expected to gain; null if it was not moved
 */
public data class TaskProgress(
    val task: JobTask,
    val lengthHint: Long,
    val phase: TaskPhase = TaskPhase.WAITING,
    val attempt: Int = 0,
    val server: String? = null,
    val notBeforeMilliseconds: Long = 0,
    val lastEvent: Long = 0,
    val lastSavedEvent: Long = 0,
    val text: PersistentList<TextPiece> = persistentListOf(),
    val versions: Set<Long> = emptySet(),
    val currentVersion: Long = 0,
    val errors: Int = 0,
    val savedErrors: Int = 0,
    val scoringErrors: Int = 0,
    val crashes: Int = 0,
    val lastActivityMilliseconds: Long = 0,
    val sentMilliseconds: Long = 0,
    val attemptStartEvent: Long = 0,
    val restarts: Int = 0,
    val isUnanswered: Boolean = false,
    val isTextComplete: Boolean = false,
    val expected: ExpectedCompletion? = null,
    val move: MoveExpectation? = null,
)

/**
 * Data of one event, or of several events restored from one saved part.
 *
 * @property lastEvent number of the last event in this piece
 * @property versions weight versions that generated the events
 */
public data class TextPiece(
    val lastEvent: Long,
    val data: String,
    val versions: Set<Long>,
)
