package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.decisions.traffic.ProgressBatch
import org.mulberrypin.decisions.traffic.ReplyStatus
import org.mulberrypin.decisions.traffic.ResultBatch
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionAnswer
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission

/** Carries out what the decision wants written or read of batch jobs. Answers come on event loops. */
internal class JobShell(
    private val jobs: JobStore,
    private val store: RowStore,
    private val identity: InstanceIdentity,
    private val log: DecisionLog,
    private val tell: (TrafficEvent) -> Unit,
) {
    private var objects = 0L

    /**
     * Writes a new job: first its submission as an object, then its row. [refuse] is called with 503 when the job is
     * certainly not stored, and with 504 when it may be.
     */
    fun store(
        effect: TrafficEffect.StoreJob,
        body: ByteArray,
        refuse: (status: Int, reason: String) -> Unit,
    ) {
        objects++
        val name = submissionObject(effect.record, identity.incarnation + objects)
        val named = effect.copy(record = effect.record.copy(submissionObject = name))
        store.putObject(name, body) { outcome ->
            when (outcome) {
                is Outcome.Success -> writeRow(named, refuse)
                is Outcome.Failure -> refuse(ReplyStatus.UNAVAILABLE, outcome.fault.toString())
            }
        }
    }

    private fun writeRow(
        effect: TrafficEffect.StoreJob,
        refuse: (Int, String) -> Unit,
    ) {
        jobs.write(effect.record, 0) { outcome ->
            when (outcome) {
                is Outcome.Success -> when (val answer = outcome.value) {
                    is TransactionAnswer.Applied -> tell(stored(effect, effect.record, answer.version))
                    is TransactionAnswer.Conflict -> acceptExisting(effect, answer, refuse)
                }

                is Outcome.Failure -> resolve(effect, outcome.fault, refuse)
            }
        }
    }

    /** The job is there already: this submission repeats an earlier one, or an answer was lost. */
    private fun acceptExisting(
        effect: TrafficEffect.StoreJob,
        answer: TransactionAnswer.Conflict,
        refuse: (Int, String) -> Unit,
    ) {
        val row = answer.rows.firstOrNull { it.key == effect.record.id }
        val record = row?.let(log::decodeJob)
        when {
            record == null -> {
                refuse(ReplyStatus.GATEWAY_TIMEOUT, "the job's row is not readable")
            }

            record.team != effect.record.team -> {
                refuse(ReplyStatus.CONFLICT, "the identifier is in use")
            }

            record.submissionObject == effect.record.submissionObject -> {
                tell(stored(effect, record, row.version))
            }

            else -> {
                dropSubmission(effect.record)
                tell(TrafficEvent.JobRowsSeen(listOf(JobRow(record.id, record, row.version))))
                tell(TrafficEvent.JobSubmitted(effect.request, effect.record, effect.submission, effect.lengthHints))
            }
        }
    }

    /** Drops the object of a submission that repeats an earlier one; what is left of it costs only room. */
    private fun dropSubmission(record: JobRecord) =
        store.dropObject(record.submissionObject) { outcome ->
            if (outcome is Outcome.Failure) {
                log.write("traffic", record.id, "submission not dropped", "store", outcome.fault.toString())
            }
        }

    private fun resolve(
        effect: TrafficEffect.StoreJob,
        fault: Fault,
        refuse: (Int, String) -> Unit,
    ) {
        if (fault.kind == FaultKind.NOT_RUN) return refuse(ReplyStatus.UNAVAILABLE, fault.toString())
        jobs.find(effect.record.id) { outcome ->
            val found = (outcome as? Outcome.Success)?.value
            val isOurs = found?.record?.submissionObject == effect.record.submissionObject
            if (found != null && isOurs) {
                tell(stored(effect, found.record, found.version))
            } else {
                refuse(ReplyStatus.GATEWAY_TIMEOUT, fault.toString())
            }
        }
    }

    private fun stored(
        effect: TrafficEffect.StoreJob,
        record: JobRecord,
        version: Long,
    ) = TrafficEvent.JobStored(effect.request, record, version, effect.submission, effect.lengthHints)

    /** Makes this instance the owner and loads the job. */
    fun takeOver(
        record: JobRecord,
        version: Long,
    ) {
        jobs.write(record, version) { outcome ->
            when (outcome) {
                is Outcome.Success -> when (val answer = outcome.value) {
                    is TransactionAnswer.Applied -> load(record, answer.version)
                    is TransactionAnswer.Conflict -> tell(TrafficEvent.JobRowsSeen(answer.rows.mapNotNull(::jobRow)))
                }

                is Outcome.Failure -> tell(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
            }
        }
    }

    private fun jobRow(row: StoredRow): JobRow? = log.decodeJob(row)?.let { JobRow(row.key, it, row.version) }

    /** Reads the rows of a job again. */
    fun reload(record: JobRecord) {
        jobs.find(record.id) { outcome ->
            when (outcome) {
                is Outcome.Success -> outcome.value?.let { load(it.record, it.version) }
                is Outcome.Failure -> tell(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
            }
        }
    }

    private fun load(
        record: JobRecord,
        version: Long,
    ) {
        store.readObject(record.submissionObject) { outcome ->
            when (outcome) {
                is Outcome.Failure -> {
                    tell(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
                }

                is Outcome.Success -> {
                    val submission = decodeSubmission(String(outcome.value))
                    if (submission == null) {
                        tell(TrafficEvent.JobLoadFailed(record.id, "the submission is not readable"))
                    } else {
                        loadResults(record, version, submission)
                    }
                }
            }
        }
    }

    private fun loadResults(
        record: JobRecord,
        version: Long,
        submission: JobSubmission,
    ) {
        jobs.readAllResults(record.id) { outcome ->
            when (outcome) {
                is Outcome.Failure -> {
                    tell(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
                }

                is Outcome.Success -> {
                    val listed = outcome.value.map { it.id }
                    val hints = lengthHints(submission)
                    loadProgress(TrafficEvent.JobLoaded(record, version, submission, hints, listed))
                }
            }
        }
    }

    private fun loadProgress(loaded: TrafficEvent.JobLoaded) {
        val job = loaded.record.id
        jobs.readProgress(job) { outcome ->
            tell(
                when (outcome) {
                    is Outcome.Failure -> TrafficEvent.JobLoadFailed(job, outcome.fault.toString())
                    is Outcome.Success -> loaded.copy(parts = outcome.value)
                },
            )
        }
    }

    /** Leaves a job to the other instances. */
    fun release(effect: TrafficEffect.ReleaseJob) {
        jobs.write(effect.record, effect.version, effect.parts) { outcome ->
            if (outcome is Outcome.Failure) {
                tell(TrafficEvent.JobLoadFailed(effect.record.id, outcome.fault.toString()))
            }
        }
    }

    /** Saves the progress of tasks. */
    fun saveProgress(batch: ProgressBatch) {
        jobs.saveProgress(batch) { outcome ->
            val isSaved = outcome is Outcome.Success && outcome.value is TransactionAnswer.Applied
            val detail = if (outcome is Outcome.Failure) outcome.fault.toString() else "the job's row has changed"
            tell(if (isSaved) TrafficEvent.ProgressSaved(batch) else TrafficEvent.ProgressNotSaved(batch, detail))
        }
    }

    /** Writes results. */
    fun writeResults(batch: ResultBatch) {
        jobs.writeResults(batch) { outcome ->
            tell(
                when (outcome) {
                    is Outcome.Failure -> TrafficEvent.ResultsNotWritten(batch, outcome.fault.toString())

                    is Outcome.Success -> when (val answer = outcome.value) {
                        is TransactionAnswer.Applied -> {
                            // Only the last write changes the job's row and with it the version to go by.
                            val version = if (batch.record.complete) answer.version else batch.version
                            TrafficEvent.ResultsWritten(batch, version)
                        }

                        is TransactionAnswer.Conflict -> {
                            TrafficEvent.ResultsNotWritten(batch, "the job's row has changed")
                        }
                    }
                },
            )
        }
    }
}
