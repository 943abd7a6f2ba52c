package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.ScoringCall
import org.mulberrypin.schema.generated.TaskPart

/** Side effects requested by the traffic decisions. */
public sealed interface TrafficEffect {
    /** Side effects of batch jobs. */
    public sealed interface JobEffect : TrafficEffect

    /**
     * Send a request to a backend server.
     *
     * @property remainingMilliseconds time until the deadline of the request
     * @property scoring the scoring call to send; null for a client request
     * @property priority priority to state to the server, from 0 (first) to 9; null for the server's default
     */
    public data class Send(
        val request: Long,
        val attempt: Int,
        val address: String,
        val server: String,
        val team: String?,
        val remainingMilliseconds: Long,
        val scoring: ScoringCall?,
        val serverStartedWallMilliseconds: Long,
        val priority: Int? = null,
    ) : TrafficEffect

    /** Cancel the current attempt of a request by closing its connection. */
    public data class Cancel(
        val request: Long,
    ) : TrafficEffect

    /** Forward the backend server's response to [attempt] to the client. */
    public data class ForwardResponse(
        val request: Long,
        val attempt: Int,
    ) : TrafficEffect

    /**
     * Respond to a client with an error status of this instance.
     *
     * @property retryMilliseconds time after which the client may repeat the request; null for the usual delay
     */
    public data class Reject(
        val request: Long,
        val status: Int,
        val reason: String,
        val retryMilliseconds: Long? = null,
    ) : TrafficEffect

    /**
     * Claim a share of a cold backend server in the store.
     *
     * @property budget requests that the server may get from all instances in any second
     */
    public data class ClaimColdShare(
        val server: String,
        val startedWallMilliseconds: Long,
        val budget: Int,
    ) : TrafficEffect

    /** Announce these suspects to the other instances in place of those announced before. */
    public data class AnnounceSuspects(
        val suspects: Map<String, CrashSuspect>,
    ) : TrafficEffect

    /** State the work of this instance's jobs in place of what was stated before. */
    public data class StateDemand(
        val demands: List<ModelDemand>,
    ) : TrafficEffect

    /** Read the body of a job submission whose route and key were accepted. */
    public data class ReadSubmission(
        val request: Long,
        val id: String,
        val team: String?,
    ) : JobEffect

    /** Write a job to the store; the client gets its response once the write has succeeded. */
    public data class StoreJob(
        val request: Long,
        val record: JobRecord,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEffect

    /** Respond to a trainer that its job is accepted. */
    public data class AcceptJob(
        val request: Long,
    ) : JobEffect

    /** Make this instance the owner of a job if the job's row still has [version], then load the job. */
    public data class TakeOverJob(
        val record: JobRecord,
        val version: Long,
    ) : JobEffect

    /** Reread the rows of a job. */
    public data class ReloadJob(
        val record: JobRecord,
    ) : JobEffect

    /** Release a job, so that another instance takes it over and resumes from [parts] and earlier saved progress. */
    public data class ReleaseJob(
        val record: JobRecord,
        val version: Long,
        val parts: List<TaskPart>,
    ) : JobEffect

    /** Save the progress of unfinished tasks. */
    public data class SaveProgress(
        val batch: ProgressBatch,
    ) : JobEffect

    /** Write results to the store. */
    public data class WriteResults(
        val batch: ResultBatch,
    ) : JobEffect

    /**
     * Run a task on an engine, starting with the event after [lastEvent]. [needsNewConnection] is true if the answer
     * to an earlier attempt was lost, so that the answer to this one has to be received. [priority] is as for [Send].
     */
    public data class RunTask(
        val job: String,
        val task: JobTask,
        val attempt: Int,
        val address: String,
        val server: String,
        val host: String,
        val team: String,
        val lastEvent: Long,
        val needsNewConnection: Boolean = false,
        val serverStartedWallMilliseconds: Long,
        val priority: Int? = null,
    ) : JobEffect

    /** Cancel the current attempt of a task by closing its connection. */
    public data class CancelTask(
        val job: String,
        val task: String,
    ) : JobEffect

    /** Add one started request to the usage of a team. */
    public data class CountUsage(
        val team: String,
    ) : TrafficEffect

    /** Count a decision that was made under load. */
    public data class CountLoadDecision(
        val decision: LoadDecision,
    ) : TrafficEffect

    /** Count how a time that a choice of a server was based on came out, for the metrics. */
    public data class MeasureForecast(
        val kind: ForecastKind,
        val expectedMilliseconds: Double,
        val actualMilliseconds: Double,
    ) : TrafficEffect

    /**
     * Record the reasons for a decision.
     *
     * @property subject identifier of the request, task or job
     * @property peer backend server, instance or job that the decision concerns; "store" for the store
     * @property inputs inputs of the decision, as key=value pairs and text
     */
    public data class RecordDecision(
        val subject: String,
        val decision: String,
        val peer: String,
        val inputs: String,
    ) : TrafficEffect
}
