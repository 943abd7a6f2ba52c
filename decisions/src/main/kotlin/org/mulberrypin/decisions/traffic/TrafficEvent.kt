package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.cold.ColdClaimOutcome
import org.mulberrypin.decisions.work.LoadReport
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.TaskPart
import org.mulberrypin.schema.generated.TaskResult

/** Inputs of the traffic decisions. */
public sealed interface TrafficEvent {
    /** Events of client requests and scoring calls. */
    public sealed interface RequestEvent : TrafficEvent

    /** Events that change which backend servers are used. */
    public sealed interface BackendEvent : TrafficEvent

    /** Events of batch jobs. */
    public sealed interface JobEvent : TrafficEvent

    /** Events of a task's stream; [attempt] identifies the stream, so that late events of earlier ones are ignored. */
    public sealed interface TaskStreamEvent : TrafficEvent {
        public val job: String
        public val task: String
        public val attempt: Int
    }

    /** A configuration took effect. */
    public data class ConfigurationChanged(
        val configuration: ServingConfiguration,
    ) : TrafficEvent

    /** The list of backend servers changed; [entries] is the complete list. */
    public data class BackendsChanged(
        val entries: List<BackendServerEntry>,
    ) : BackendEvent

    /**
     * A backend server said in a response that it is leaving.
     *
     * @property startedWallMilliseconds start time of the server that the call was meant for; null for the listed one
     */
    public data class ServerLeaving(
        val server: String,
        val startedWallMilliseconds: Long?,
    ) : BackendEvent

    /**
     * A backend server said in a response for how long it stays cold.
     *
     * @property startedWallMilliseconds start time of the server that the call was meant for; null for the listed one
     */
    public data class ServerCold(
        val server: String,
        val startedWallMilliseconds: Long?,
        val coldMilliseconds: Long,
    ) : BackendEvent

    /** The store answered a claim to a share of a cold backend server. */
    public data class ColdShareAnswered(
        val server: String,
        val startedWallMilliseconds: Long,
        val outcome: ColdClaimOutcome,
    ) : BackendEvent

    /** The operator's evacuations changed; [domains] are all evacuated failure domains. */
    public data class DomainsEvacuated(
        val domains: Set<String>,
    ) : BackendEvent

    /** Weight versions were named; [versions] has the newest version of each model. */
    public data class VersionsNamed(
        val versions: Map<String, Long>,
    ) : TrafficEvent

    /**
     * A client sent a request.
     *
     * @property key the client's API key; null if the request has none
     * @property deadlineMilliseconds timeout set by the client, counted from arrival, in milliseconds; null if unset
     * @property content digest of caller, method, host, path and body, which a repetition shares; empty if unknown
     */
    public data class RequestArrived(
        val request: Long,
        val id: String,
        val host: String,
        val path: String,
        val key: String?,
        val deadlineMilliseconds: Long?,
        val content: String = "",
    ) : RequestEvent

    /** The client of a request closed its connection. */
    public data class CallerDisconnected(
        val request: Long,
    ) : RequestEvent

    /**
     * A backend server responded to a request.
     *
     * @property notRun true if the backend server states that it did not run the request
     * @property signed true if the response carries the signature of the backend server
     * @property load load reported by the backend server; null if not reported
     * @property connection the connection that the response came over, for the log
     */
    public data class ResponseReceived(
        val request: Long,
        val attempt: Int,
        val status: Int,
        val notRun: Boolean,
        val signed: Boolean,
        val signature: String,
        val load: LoadReport?,
        val connection: String = "",
    ) : RequestEvent

    /**
     * An attempt failed without a response.
     *
     * @property sent false if the backend server cannot have received the request
     * @property connectionLost true if the connection was lost after the request had been sent
     */
    public data class AttemptFailed(
        val request: Long,
        val attempt: Int,
        val sent: Boolean,
        val detail: String,
        val connectionLost: Boolean = false,
    ) : RequestEvent

    /** A trainer submitted a job, and its route and key were accepted. */
    public data class JobSubmitted(
        val request: Long,
        val record: JobRecord,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEvent

    /** The job submitted with a request is in the store; its row has [version]. */
    public data class JobStored(
        val request: Long,
        val record: JobRecord,
        val version: Long,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEvent

    /** Job rows were read from the store; a null record marks a deleted row. */
    public data class JobRowsRead(
        val rows: List<JobRow>,
    ) : JobEvent

    /**
     * A job was taken over from another instance, or its rows were reread.
     *
     * @property storedResults identifiers of the tasks whose results are in the store
     * @property parts saved parts of task output, ordered by first event
     */
    public data class JobLoaded(
        val record: JobRecord,
        val version: Long,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
        val storedResults: List<String>,
        val parts: List<TaskPart> = emptyList(),
    ) : JobEvent

    /** A job could not be loaded. */
    public data class JobLoadFailed(
        val job: String,
        val detail: String,
    ) : JobEvent

    /** A write of results succeeded; the job's row now has [version]. */
    public data class ResultsWritten(
        val batch: ResultBatch,
        val version: Long,
    ) : JobEvent

    /** A write of results failed, or its outcome is unknown. */
    public data class ResultsWriteFailed(
        val batch: ResultBatch,
        val detail: String,
    ) : JobEvent

    /** A save of task progress succeeded. */
    public data class ProgressSaved(
        val batch: ProgressBatch,
    ) : JobEvent

    /** A save of task progress failed, or its outcome is unknown. */
    public data class ProgressSaveFailed(
        val batch: ProgressBatch,
        val detail: String,
    ) : JobEvent

    /** An engine responded to a task: it started streaming, refused the task or reported an error. */
    public data class TaskResponseReceived(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val status: Int,
        val notRun: Boolean,
        val version: Long?,
        val load: LoadReport? = null,
    ) : TaskStreamEvent

    /** Events of a task were received. */
    public data class TaskEventsArrived(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val events: List<TaskEvent>,
    ) : TaskStreamEvent

    /** The engine ended the stream without an error. */
    public data class TaskEnded(
        override val job: String,
        override val task: String,
        override val attempt: Int,
    ) : TaskStreamEvent

    /** The stream of a task failed; [connectionLost] tells whether its connection was lost after it had been sent. */
    public data class TaskAttemptFailed(
        override val job: String,
        override val task: String,
        override val attempt: Int,
        val sent: Boolean,
        val detail: String,
        val connectionLost: Boolean = false,
    ) : TaskStreamEvent

    /** Divisions of engines among models were read; [shares] has the thousandths of each model, by pool. */
    public data class DivisionsRead(
        val shares: Map<String, Map<String, Int>>,
    ) : JobEvent

    /** The crash records that other instances announce were read. */
    public data class CrashRecordsRead(
        val records: List<CrashRecord>,
    ) : TrafficEvent

    /** The list of live instances was read from the heartbeats. */
    public data class LiveInstancesRead(
        val live: List<LiveInstance>,
    ) : TrafficEvent

    /** The instance started shutting down and accepts no new jobs. */
    public data object DrainStarted : TrafficEvent

    /** The grace period of a shutdown is about to end; requests that are still open get their final response. */
    public data object GraceEnding : TrafficEvent

    /** Request to release all jobs of this instance to other instances. */
    public data object ReleaseJobs : TrafficEvent

    /** Timer tick. */
    public data object Tick : TrafficEvent
}

/** A job row in the store; a null record means that the row was deleted. */
public data class JobRow(
    val id: String,
    val record: JobRecord?,
    val version: Long,
)

/** An event of a task's stream; [version] is set if the weight version changes with this event. */
public data class TaskEvent(
    val id: Long,
    val data: String,
    val version: Long?,
)

/** Results to write, starting at [firstPosition] in the result list of the job. */
public data class ResultBatch(
    val record: JobRecord,
    val version: Long,
    val firstPosition: Int,
    val results: List<TaskResult>,
)

/** Parts of task output to save on the condition that the job's row still has [version]. */
public data class ProgressBatch(
    val record: JobRecord,
    val version: Long,
    val parts: List<TaskPart>,
)
