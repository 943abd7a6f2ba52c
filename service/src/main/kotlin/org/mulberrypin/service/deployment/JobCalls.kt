package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.HttpStatusCode
import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.decisions.traffic.knowsConfigurationOf
import org.mulberrypin.platform.deployment.CallReply
import org.mulberrypin.platform.deployment.CallTarget
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.platform.deployment.decodeBody
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.platform.deployment.encodeResults
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord

/**
 * Serves calls about jobs: reading results, reading task bodies and ending a job. Any instance can serve any job, since
 * it reads the job from the store. All functions run on the thread of the traffic duty.
 */
internal class JobCalls(
    private val jobs: JobStore,
    private val ports: TrafficPorts,
    private val state: () -> TrafficState,
    private val offer: (TrafficSignal) -> Unit,
    private val reply: (Long, CallReply) -> Unit,
) {
    private val pendingReads = HashMap<Long, PendingRead>()

    fun startCall(
        callNumber: Long,
        call: IncomingCall,
    ) {
        val routing = state().routing
        val isAuthorized = routing != null && (!routing.requiresKeys || call.key in routing.teamByKey)
        when {
            routing == null -> reply(callNumber, unavailable("no configuration is known yet"))
            isAuthorized -> loadJob(callNumber, jobIdOf(call.target))
            isOfNewerConfiguration(state().storedJobs[jobIdOf(call.target)]?.record) -> refuseNewerJob(callNumber)
            else -> rejectKey(callNumber, call, routing.version)
        }
    }

    /** Whether the configuration in force here is too old to tell who may not access the job. */
    private fun isOfNewerConfiguration(record: JobRecord?): Boolean =
        record != null && !state().knowsConfigurationOf(record)

    private fun refuseNewerJob(callNumber: Long) =
        reply(callNumber, unavailable("the job was accepted under a newer configuration than is in force here"))

    private fun rejectKey(
        callNumber: Long,
        call: IncomingCall,
        version: Long,
    ) {
        val inputs = "the key is missing or unknown; configuration=$version"
        ports.log.write(SOURCE, jobIdOf(call.target), "refused ${HttpStatusCode.UNAUTHORIZED}", "", inputs)
        reply(callNumber, CallReply.Local(HttpStatusCode.UNAUTHORIZED, "the key is missing or unknown"))
    }

    private fun loadJob(
        callNumber: Long,
        job: String,
    ) {
        val known = state().storedJobs[job]
        if (known != null) {
            offer(TrafficSignal.JobFound(callNumber, Outcome.Success(StoredJob(known.record, known.version))))
        } else {
            jobs.find(job) { offer(TrafficSignal.JobFound(callNumber, it)) }
        }
    }

    fun handleJobFound(
        signal: TrafficSignal.JobFound,
        call: IncomingCall?,
    ) {
        if (call == null) return
        val outcome = signal.outcome
        if (outcome is Outcome.Failure) return reply(signal.callNumber, unavailable(outcome.fault.toString()))
        val found = (outcome as Outcome.Success).value
        val team = call.key?.let { state().routing?.teamByKey?.get(it) }.orEmpty()
        if (found == null || found.record.team != team) {
            return refuseOtherJob(signal.callNumber, call, found, team)
        }
        when (val target = call.target) {
            is CallTarget.Results -> startRead(signal.callNumber, found.record, target)
            is CallTarget.TaskBody -> readBody(signal.callNumber, found.record, target)
            is CallTarget.EndJob -> endJob(signal.callNumber, found)
            CallTarget.Routed -> Unit
        }
    }

    /** Refuses access to a job that does not exist or belongs to another team than [team]. */
    private fun refuseOtherJob(
        callNumber: Long,
        call: IncomingCall,
        found: StoredJob?,
        team: String,
    ) {
        if (isOfNewerConfiguration(found?.record)) return refuseNewerJob(callNumber)
        val inputs = "known=${found != null} team=$team"
        ports.log.write(SOURCE, jobIdOf(call.target), "not found ${HttpStatusCode.NOT_FOUND}", "store", inputs)
        reply(callNumber, CallReply.Local(HttpStatusCode.NOT_FOUND, "no such job"))
    }

    private fun startRead(
        callNumber: Long,
        record: JobRecord,
        target: CallTarget.Results,
    ) {
        val deadline = ports.clock.readMilliseconds() + target.waitMilliseconds
        pendingReads[callNumber] = PendingRead(record, target.position, deadline)
        read(callNumber, record, target.position)
    }

    private fun read(
        callNumber: Long,
        record: JobRecord,
        position: Int,
    ) {
        pendingReads[callNumber] = pendingReads.getValue(callNumber).copy(isReading = true)
        jobs.readResults(record.id, position) { offer(TrafficSignal.ResultsRead(callNumber, it)) }
    }

    fun handleResultsRead(
        signal: TrafficSignal.ResultsRead,
        call: IncomingCall?,
    ) {
        val read = pendingReads[signal.callNumber] ?: return
        val outcome = signal.outcome
        val now = ports.clock.readMilliseconds()
        when {
            call == null -> {
                pendingReads.remove(signal.callNumber)
            }

            outcome is Outcome.Failure -> {
                pendingReads.remove(signal.callNumber)
                reply(signal.callNumber, unavailable(outcome.fault.toString()))
            }

            outcome is Outcome.Success -> {
                val results = outcome.value.results
                val isFinal = now >= read.deadlineMilliseconds || read.position >= read.record.total
                if (results.isEmpty() && !isFinal) {
                    pendingReads[signal.callNumber] =
                        read.copy(isReading = false, nextReadMilliseconds = now + POLL_INTERVAL_MILLISECONDS)
                } else {
                    pendingReads.remove(signal.callNumber)
                    val text = encodeResults(read.record.total, read.position + results.size, results)
                    reply(signal.callNumber, CallReply.JsonDocument(text))
                }
            }
        }
    }

    /** Polls the store again for calls that wait for a result; drops those whose caller has disconnected. */
    fun pollPendingReads(calls: Map<Long, IncomingCall>) {
        val now = ports.clock.readMilliseconds()
        pendingReads.keys.removeIf { it !in calls }
        pendingReads
            .filter { (_, read) ->
                !read.isReading && read.nextReadMilliseconds <= now
            }.forEach { (callNumber, read) ->
                read(callNumber, read.record, read.position)
            }
    }

    private fun readBody(
        callNumber: Long,
        record: JobRecord,
        target: CallTarget.TaskBody,
    ) {
        val running = state().jobs[record.id]
        if (running != null) {
            replyBody(callNumber, running.tasks[target.task]?.task?.body)
        } else {
            ports.store.readObject(record.submissionObject) { offer(TrafficSignal.SubmissionRead(callNumber, it)) }
        }
    }

    fun handleSubmissionRead(
        signal: TrafficSignal.SubmissionRead,
        call: IncomingCall?,
    ) {
        val target = call?.target as? CallTarget.TaskBody ?: return
        when (val outcome = signal.outcome) {
            is Outcome.Failure -> {
                reply(signal.callNumber, unavailable(outcome.fault.toString()))
            }

            is Outcome.Success -> {
                val tasks = decodeSubmission(outcome.value)?.tasks.orEmpty()
                replyBody(signal.callNumber, tasks.firstOrNull { it.id == target.task }?.body)
            }
        }
    }

    private fun replyBody(
        callNumber: Long,
        body: String?,
    ) {
        val content = body?.let { CallReply.Bytes(decodeBody(it)) }
        reply(callNumber, content ?: CallReply.Local(HttpStatusCode.NOT_FOUND, "no such task"))
    }

    private fun endJob(
        callNumber: Long,
        found: StoredJob,
    ) {
        if (found.record.ended) return reply(callNumber, CallReply.Local(HttpStatusCode.OK, "ended"))
        val ended = found.record.copy(ended = true)
        jobs.write(ended, found.version) { offer(TrafficSignal.EndWritten(callNumber, ended, it)) }
    }

    /** Handles the outcome of writing a job's end; returns the job's new row if it was written, otherwise null. */
    fun handleEndWritten(
        signal: TrafficSignal.EndWritten,
        call: IncomingCall?,
    ): JobRow? {
        val outcome = signal.outcome
        if (outcome is Outcome.Failure) {
            ports.log.write(SOURCE, signal.record.id, "end not written", "store", outcome.fault.toString())
            reply(signal.callNumber, endFailureReply(outcome.fault))
            return null
        }
        return when (val result = (outcome as Outcome.Success).value) {
            is TransactionResult.Applied -> {
                ports.log.write(SOURCE, signal.record.id, "job ended", "store", "version=${result.version}")
                reply(signal.callNumber, CallReply.Local(HttpStatusCode.OK, "ended"))
                JobRow(signal.record.id, signal.record, result.version)
            }

            is TransactionResult.Conflict -> {
                val row = result.rows.firstOrNull { it.key == signal.record.id }
                val record = row?.let(ports.log::decodeJob)
                if (record == null) {
                    reply(signal.callNumber, CallReply.Local(HttpStatusCode.OK, "ended"))
                } else if (call != null) {
                    endJob(signal.callNumber, StoredJob(record, row.version))
                }
                null
            }
        }
    }

    private fun endFailureReply(fault: Fault): CallReply =
        if (fault.kind == FaultKind.NOT_RUN) {
            unavailable(fault.toString())
        } else {
            CallReply.Local(HttpStatusCode.GATEWAY_TIMEOUT, fault.toString())
        }

    private fun unavailable(reason: String) = CallReply.Local(
        HttpStatusCode.UNAVAILABLE,
        reason,
        RETRY_AFTER_MILLISECONDS,
    )

    private companion object {
        private const val SOURCE = "jobs"

        /** Interval between reads for a waiting call, in milliseconds. */
        private const val POLL_INTERVAL_MILLISECONDS = 150L

        /** Retry delay given to a rejected caller, in milliseconds. */
        private const val RETRY_AFTER_MILLISECONDS = 200L
    }
}

/**
 * A call that reads results and may wait for the first of them. Times are readings of the monotonic clock.
 *
 * @property position position of the first result to return
 * @property deadlineMilliseconds time at which the call is answered even without a result
 * @property isReading true while a read of the store is in flight
 * @property nextReadMilliseconds earliest time of the next read
 */
private data class PendingRead(
    val record: JobRecord,
    val position: Int,
    val deadlineMilliseconds: Long,
    val isReading: Boolean = false,
    val nextReadMilliseconds: Long = 0,
)

private fun jobIdOf(target: CallTarget): String =
    when (target) {
        is CallTarget.Results -> target.job
        is CallTarget.TaskBody -> target.job
        is CallTarget.EndJob -> target.job
        CallTarget.Routed -> ""
    }
