package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.TaskPart
import org.mulberrypin.schema.generated.TaskResult

/** What the traffic duty is told. */
public sealed interface TrafficEvent {
    /** Something happened to a request of a caller or to a scoring call. */
    public sealed interface RequestEvent : TrafficEvent

    /** Something happened to a batch job. */
    public sealed interface JobEvent : TrafficEvent

    /** Something happened to the stream of a task; [attempt] tells a late part of an earlier stream apart. */
    public sealed interface TaskStreamEvent : TrafficEvent {
        public val job: String
        public val task: String
        public val attempt: Int
    }

    /** A configuration came into force. */
    public data class ConfigurationChanged(
        val configuration: ServingConfiguration,
    ) : TrafficEvent

    /** The list of backend servers changed; [entries] is the whole list. */
    public data class BackendsChanged(
        val entries: List<BackendServerEntry>,
    ) : TrafficEvent

    /**
     * A caller sent a request.
     *
     * @property key the caller's key; null when there is none
     * @property deadlineMilliseconds time that the caller waits, from now on; null when it does not say
     */
    public data class RequestArrived(
        val request: Long,
        val id: String,
        val host: String,
        val path: String,
        val key: String?,
        val deadlineMilliseconds: Long?,
    ) : RequestEvent

    /** The caller of a request has gone. */
    public data class CallerLeft(
        val request: Long,
    ) : RequestEvent

    /**
     * A backend server answered a request.
     *
     * @property signed true when the answer bears the signature of the backend server
     * @property load requests that run or wait at the backend server; null when it does not say
     */
    public data class Answered(
        val request: Long,
        val attempt: Int,
        val status: Int,
        val notRun: Boolean,
        val signed: Boolean,
        val signature: String,
        val load: Int?,
    ) : RequestEvent

    /** An attempt broke off; [sent] is false when the backend server cannot have seen the request. */
    public data class Broke(
        val request: Long,
        val attempt: Int,
        val sent: Boolean,
        val detail: String,
    ) : RequestEvent

    /** A trainer submitted a job that was read and admitted by its route. */
    public data class JobSubmitted(
        val request: Long,
        val record: JobRecord,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEvent

    /** The store has the job that was submitted with a request, under the version of its row. */
    public data class JobStored(
        val request: Long,
        val record: JobRecord,
        val version: Long,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEvent

    /** Rows of jobs as the store shows them; a null record marks a row that was removed. */
    public data class JobRowsSeen(
        val rows: List<JobRow>,
    ) : JobEvent

    /**
     * A job of another instance was taken over, or a job's rows were read again.
     *
     * @property parts saved parts of tasks, in the order of their first events
     */
    public data class JobLoaded(
        val record: JobRecord,
        val version: Long,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
        val listed: List<String>,
        val parts: List<TaskPart> = emptyList(),
    ) : JobEvent

    /** A job could not be loaded. */
    public data class JobLoadFailed(
        val job: String,
        val detail: String,
    ) : JobEvent

    /** A write of results took effect; the job's row now has [version]. */
    public data class ResultsWritten(
        val batch: ResultBatch,
        val version: Long,
    ) : JobEvent

    /** A write of results took no effect, or may not have. */
    public data class ResultsNotWritten(
        val batch: ResultBatch,
        val detail: String,
    ) : JobEvent

    /** A save of the progress of tasks took effect. */
    public data class ProgressSaved(
        val batch: ProgressBatch,
    ) : JobEvent

    /** A save of the progress of tasks took no effect, or may not have. */
    public data class ProgressNotSaved(
        val batch: ProgressBatch,
        val detail: String,
    ) : JobEvent

    /** An engine began to answer a task, or refused it. */
    public data class TaskAnswered(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val status: Int,
        val notRun: Boolean,
        val version: Long?,
    ) : TaskStreamEvent

    /** Events of a task arrived. */
    public data class TaskEventsArrived(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val events: List<TaskEvent>,
    ) : TaskStreamEvent

    /** The engine ended its stream properly. */
    public data class TaskEnded(
        override val job: String,
        override val task: String,
        override val attempt: Int,
    ) : TaskStreamEvent

    /** The stream of a task broke off. */
    public data class TaskBroke(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val sent: Boolean,
        val detail: String,
    ) : TaskStreamEvent

    /** The instances whose heartbeats are seen. */
    public data class InstancesSeen(
        val live: List<LiveInstance>,
    ) : TrafficEvent

    /** The instance shuts down. */
    public data object DrainStarted : TrafficEvent

    /** The instance gives its jobs to others. */
    public data object JobsReleased : TrafficEvent

    /** Time has passed. */
    public data object Ticked : TrafficEvent
}

/** A row of a job in the store. */
public data class JobRow(
    val id: String,
    val record: JobRecord?,
    val version: Long,
)

/** An event of a task's stream; [version] is set where the version of the weights changes. */
public data class TaskEvent(
    val id: Long,
    val data: String,
    val version: Long?,
)

/** Results to write from [firstPosition] on. */
public data class ResultBatch(
    val record: JobRecord,
    val version: Long,
    val firstPosition: Int,
    val results: List<TaskResult>,
)

/** Parts of tasks to save while the job's row has [version]. */
public data class ProgressBatch(
    val record: JobRecord,
    val version: Long,
    val parts: List<TaskPart>,
)
