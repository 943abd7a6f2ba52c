package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.decisions.traffic.ReplyStatus
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.platform.deployment.CallTarget
import org.mulberrypin.platform.deployment.CallerCall
import org.mulberrypin.platform.deployment.CallerReply
import org.mulberrypin.platform.deployment.TransactionAnswer
import org.mulberrypin.platform.deployment.decodeBody
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.platform.deployment.encodeResults
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord

/**
 * Answers calls about jobs: results, bodies of tasks, and the end of a job. Any instance answers for any job, from the
 * store. All functions run on the thread of the traffic duty.
 */
internal class JobCalls(
    private val jobs: JobStore,
    private val ports: TrafficPorts,
    private val state: () -> TrafficState,
    private val offer: (TrafficSignal) -> Unit,
    private val reply: (Long, CallerReply) -> Unit,
) {
    private val waiting = HashMap<Long, WaitingRead>()

    fun begin(
        number: Long,
        call: CallerCall,
    ) {
        val routing = state().routing
        val isKnown = routing != null && (!routing.asksForKeys || call.key in routing.teamByKey)
        when {
            routing == null -> reply(number, unavailable("no configuration is known yet"))
            !isKnown -> refuseKey(number, call, routing.version)
            else -> findJob(number, jobOf(call.target))
        }
    }

    private fun refuseKey(
        number: Long,
        call: CallerCall,
        version: Long,
    ) {
        val inputs = "the key is missing or unknown; configuration=$version"
        ports.log.write(PART, jobOf(call.target), "refused ${ReplyStatus.UNAUTHORIZED}", "", inputs)
        reply(number, CallerReply.Own(ReplyStatus.UNAUTHORIZED, "the key is missing or unknown"))
    }

    private fun findJob(
        number: Long,
        job: String,
    ) {
        val known = state().records[job]
        if (known != null) {
            offer(TrafficSignal.JobFound(number, Outcome.Success(StoredJob(known.record, known.version))))
        } else {
            jobs.find(job) { offer(TrafficSignal.JobFound(number, it)) }
        }
    }

    fun acceptJob(
        signal: TrafficSignal.JobFound,
        call: CallerCall?,
    ) {
        if (call == null) return
        val outcome = signal.outcome
        if (outcome is Outcome.Failure) return reply(signal.number, unavailable(outcome.fault.toString()))
        val found = (outcome as Outcome.Success).value
        val team = call.key?.let { state().routing?.teamByKey?.get(it) }.orEmpty()
        if (found == null || found.record.team != team) {
            val inputs = "known=${found != null} team=$team"
            ports.log.write(PART, jobOf(call.target), "not found ${ReplyStatus.NOT_FOUND}", "store", inputs)
            return reply(signal.number, CallerReply.Own(ReplyStatus.NOT_FOUND, "no such job"))
        }
        when (val target = call.target) {
            is CallTarget.Results -> beginRead(signal.number, found.record, target)
            is CallTarget.TaskBody -> readBody(signal.number, found.record, target)
            is CallTarget.EndJob -> end(signal.number, found)
            CallTarget.Routed -> Unit
        }
    }

    private fun beginRead(
        number: Long,
        record: JobRecord,
        target: CallTarget.Results,
    ) {
        val until = ports.clock.readMilliseconds() + target.waitMilliseconds
        waiting[number] = WaitingRead(record, target.position, until)
        read(number, record, target.position)
    }

    private fun read(
        number: Long,
        record: JobRecord,
        position: Int,
    ) {
        waiting[number] = waiting.getValue(number).copy(isReading = true)
        jobs.readResults(record.id, position) { offer(TrafficSignal.ResultsRead(number, it)) }
    }

    fun acceptResults(
        signal: TrafficSignal.ResultsRead,
        call: CallerCall?,
    ) {
        val read = waiting[signal.number] ?: return
        val outcome = signal.outcome
        val now = ports.clock.readMilliseconds()
        when {
            call == null -> {
                waiting.remove(signal.number)
            }

            outcome is Outcome.Failure -> {
                waiting.remove(signal.number)
                reply(signal.number, unavailable(outcome.fault.toString()))
            }

            outcome is Outcome.Success -> {
                val results = outcome.value.results
                val isOver = now >= read.untilMilliseconds || read.position >= read.record.total
                if (results.isEmpty() && !isOver) {
                    waiting[signal.number] = read.copy(isReading = false, nextMilliseconds = now + POLL_MILLISECONDS)
                } else {
                    waiting.remove(signal.number)
                    val text = encodeResults(read.record.total, read.position + results.size, results)
                    reply(signal.number, CallerReply.Document(text))
                }
            }
        }
    }

    /** Reads again for the calls that wait for a result. */
    fun continueWaiting(calls: Map<Long, CallerCall>) {
        val now = ports.clock.readMilliseconds()
        waiting.keys.removeIf { it !in calls }
        waiting.filter { (_, read) -> !read.isReading && read.nextMilliseconds <= now }.forEach { (number, read) ->
            read(number, read.record, read.position)
        }
    }

    private fun readBody(
        number: Long,
        record: JobRecord,
        target: CallTarget.TaskBody,
    ) {
        val running = state().jobs[record.id]
        if (running != null) {
            replyBody(number, running.tasks[target.task]?.task?.body)
        } else {
            ports.store.readObject(record.submissionObject) { offer(TrafficSignal.SubmissionRead(number, it)) }
        }
    }

    fun acceptSubmission(
        signal: TrafficSignal.SubmissionRead,
        call: CallerCall?,
    ) {
        val target = call?.target as? CallTarget.TaskBody ?: return
        when (val outcome = signal.outcome) {
            is Outcome.Failure -> {
                reply(signal.number, unavailable(outcome.fault.toString()))
            }

            is Outcome.Success -> {
                val tasks = decodeSubmission(String(outcome.value))?.tasks.orEmpty()
                replyBody(signal.number, tasks.firstOrNull { it.id == target.task }?.body)
            }
        }
    }

    private fun replyBody(
        number: Long,
        body: String?,
    ) {
        val content = body?.let { CallerReply.Content(decodeBody(it)) }
        reply(number, content ?: CallerReply.Own(ReplyStatus.NOT_FOUND, "no such task"))
    }

    private fun end(
        number: Long,
        found: StoredJob,
    ) {
        if (found.record.ended) return reply(number, CallerReply.Own(ReplyStatus.OK, "ended"))
        val ended = found.record.copy(ended = true)
        jobs.write(ended, found.version) { offer(TrafficSignal.EndWritten(number, ended, it)) }
    }

    /** Takes the answer to the write of an end; answers the row of the job when it was written. */
    fun acceptEnd(
        signal: TrafficSignal.EndWritten,
        call: CallerCall?,
    ): JobRow? {
        val outcome = signal.outcome
        if (outcome is Outcome.Failure) {
            ports.log.write(PART, signal.record.id, "end not written", "store", outcome.fault.toString())
            reply(signal.number, endRefused(outcome.fault))
            return null
        }
        return when (val answer = (outcome as Outcome.Success).value) {
            is TransactionAnswer.Applied -> {
                ports.log.write(PART, signal.record.id, "job ended", "store", "version=${answer.version}")
                reply(signal.number, CallerReply.Own(ReplyStatus.OK, "ended"))
                JobRow(signal.record.id, signal.record, answer.version)
            }

            is TransactionAnswer.Conflict -> {
                val row = answer.rows.firstOrNull { it.key == signal.record.id }
                val record = row?.let(ports.log::decodeJob)
                if (record == null) {
                    reply(signal.number, CallerReply.Own(ReplyStatus.OK, "ended"))
                } else if (call != null) {
                    end(signal.number, StoredJob(record, row.version))
                }
                null
            }
        }
    }

    private fun endRefused(fault: Fault): CallerReply =
        if (fault.kind == FaultKind.NOT_RUN) {
            unavailable(fault.toString())
        } else {
            CallerReply.Own(ReplyStatus.GATEWAY_TIMEOUT, fault.toString())
        }

    private fun unavailable(reason: String) = CallerReply.Own(ReplyStatus.UNAVAILABLE, reason, RETRY_MILLISECONDS)

    private companion object {
        private const val PART = "jobs"

        /** Time between two readings for a call that waits, in milliseconds. */
        private const val POLL_MILLISECONDS = 150L

        /** Time after which a refused reader may come back, in milliseconds. */
        private const val RETRY_MILLISECONDS = 200L
    }
}

/**
 * A call that reads results.
 *
 * @property untilMilliseconds when the call is answered even without a result
 * @property isReading true while the store is being asked
 */
private data class WaitingRead(
    val record: JobRecord,
    val position: Int,
    val untilMilliseconds: Long,
    val isReading: Boolean = false,
    val nextMilliseconds: Long = 0,
)

private fun jobOf(target: CallTarget): String =
    when (target) {
        is CallTarget.Results -> target.job
        is CallTarget.TaskBody -> target.job
        is CallTarget.EndJob -> target.job
        CallTarget.Routed -> ""
    }
