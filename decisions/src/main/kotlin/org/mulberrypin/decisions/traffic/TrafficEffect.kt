package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.ScoringCall
import org.mulberrypin.schema.generated.TaskPart

/** What the traffic duty carries out. */
public sealed interface TrafficEffect {
    /** Something to do for a batch job. */
    public sealed interface JobEffect : TrafficEffect

    /** Hand a request to a backend server. */
    public data class Send(
        val request: Long,
        val attempt: Int,
        val address: String,
        val server: String,
        val team: String?,
        val remainingMilliseconds: Long,
        val scoring: ScoringCall?,
    ) : TrafficEffect

    /** Close the connection of a request's current attempt. */
    public data class Cancel(
        val request: Long,
    ) : TrafficEffect

    /** Answer a caller with the answer that the backend server gave to an attempt. */
    public data class Relay(
        val request: Long,
        val attempt: Int,
    ) : TrafficEffect

    /** Answer a caller with a status of this instance. */
    public data class Refuse(
        val request: Long,
        val status: Int,
        val reason: String,
    ) : TrafficEffect

    /** Take in a job whose route and key were judged. */
    public data class ReadSubmission(
        val request: Long,
        val id: String,
        val team: String?,
    ) : JobEffect

    /** Write a job to the store; the caller is answered once it is there. */
    public data class StoreJob(
        val request: Long,
        val record: JobRecord,
        val submission: JobSubmission,
        val lengthHints: Map<String, Long>,
    ) : JobEffect

    /** Tell a trainer that its job is accepted. */
    public data class AcceptJob(
        val request: Long,
    ) : JobEffect

    /** Make this instance the owner of a job, if its row still has [version], and load it. */
    public data class TakeOverJob(
        val record: JobRecord,
        val version: Long,
    ) : JobEffect

    /** Read the rows of a job again. */
    public data class ReloadJob(
        val record: JobRecord,
    ) : JobEffect

    /** Give up a job, so that another instance takes it over and goes on from [parts] and what was saved before. */
    public data class ReleaseJob(
        val record: JobRecord,
        val version: Long,
        val parts: List<TaskPart>,
    ) : JobEffect

    /** Save what has arrived of tasks that are not done. */
    public data class SaveProgress(
        val batch: ProgressBatch,
    ) : JobEffect

    /** Write results. */
    public data class WriteResults(
        val batch: ResultBatch,
    ) : JobEffect

    /** Run a task at an engine, from the event after [lastEvent] on. */
    public data class RunTask(
        val job: String,
        val task: JobTask,
        val attempt: Int,
        val address: String,
        val server: String,
        val host: String,
        val team: String,
        val lastEvent: Long,
    ) : JobEffect

    /** Close the connection of a task's current attempt. */
    public data class CancelTask(
        val job: String,
        val task: String,
    ) : JobEffect

    /** Count a request that began to run for a team. */
    public data class CountUsage(
        val team: String,
    ) : TrafficEffect

    /**
     * Record why something was decided.
     *
     * @property subject identifier of the request, task or job
     * @property inputs what decided it, with ages or versions
     */
    public data class Explain(
        val subject: String,
        val decision: String,
        val peer: String,
        val inputs: String,
    ) : TrafficEffect
}
