package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.HttpStatusCode
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.decisions.traffic.ProgressBatch
import org.mulberrypin.decisions.traffic.ResultBatch
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission

/** Performs the store reads and writes that the traffic decision requests for jobs. Callbacks run on event loops. */
internal class JobEffectHandler(
    private val jobs: JobStore,
    private val store: RowStore,
    private val identity: InstanceIdentity,
    private val log: DecisionLog,
    private val onEvent: (TrafficEvent) -> Unit,
) {
    private var objectCount = 0L

    /**
     * Stores a new job: first its submission as an object, then its row. Calls [onRefused] with status 503 when the job
     * is certainly not stored, and with 504 when it may be.
     */
    fun storeJob(
        effect: TrafficEffect.StoreJob,
        body: ByteArray,
        onRefused: (status: Int, reason: String) -> Unit,
    ) {
        objectCount++
        val name = submissionObject(effect.record, identity.incarnation + objectCount)
        val namedEffect = effect.copy(record = effect.record.copy(submissionObject = name))
        store.putObject(name, body) { outcome ->
            when (outcome) {
                is Outcome.Success -> writeRow(namedEffect, onRefused)
                is Outcome.Failure -> onRefused(HttpStatusCode.UNAVAILABLE, outcome.fault.toString())
            }
        }
    }

    private fun writeRow(
        effect: TrafficEffect.StoreJob,
        onRefused: (Int, String) -> Unit,
    ) {
        jobs.write(effect.record, 0) { outcome ->
            when (outcome) {
                is Outcome.Success -> when (val result = outcome.value) {
                    is TransactionResult.Applied -> onEvent(jobStored(effect, effect.record, result.version))
                    is TransactionResult.Conflict -> handleExistingRow(effect, result, onRefused)
                }

                is Outcome.Failure -> resolveWriteFailure(effect, outcome.fault, onRefused)
            }
        }
    }

    /** Handles an existing job row: this submission repeats an earlier one, or the response to its write was lost. */
    private fun handleExistingRow(
        effect: TrafficEffect.StoreJob,
        result: TransactionResult.Conflict,
        onRefused: (Int, String) -> Unit,
    ) {
        val row = result.rows.firstOrNull { it.key == effect.record.id }
        val record = row?.let(log::decodeJob)
        when {
            record == null -> {
                onRefused(HttpStatusCode.GATEWAY_TIMEOUT, "the job's row is not readable")
            }

            record.team != effect.record.team -> {
                onRefused(HttpStatusCode.CONFLICT, "the identifier is in use")
            }

            record.submissionObject == effect.record.submissionObject -> {
                onEvent(jobStored(effect, record, row.version))
            }

            else -> {
                deleteSubmission(effect.record)
                onEvent(TrafficEvent.JobRowsRead(listOf(JobRow(record.id, record, row.version))))
                onEvent(TrafficEvent.JobSubmitted(effect.request, effect.record, effect.submission, effect.lengthHints))
            }
        }
    }

    /** Deletes the object of a repeated submission; failure is logged only, as a leftover object only takes space. */
    private fun deleteSubmission(record: JobRecord) =
        store.deleteObject(record.submissionObject) { outcome ->
            if (outcome is Outcome.Failure) {
                log.write("traffic", record.id, "submission not dropped", "store", outcome.fault.toString())
            }
        }

    private fun resolveWriteFailure(
        effect: TrafficEffect.StoreJob,
        fault: Fault,
        onRefused: (Int, String) -> Unit,
    ) {
        if (fault.kind == FaultKind.NOT_RUN) return onRefused(HttpStatusCode.UNAVAILABLE, fault.toString())
        jobs.find(effect.record.id) { outcome ->
            val found = (outcome as? Outcome.Success)?.value
            val isSameSubmission = found?.record?.submissionObject == effect.record.submissionObject
            if (found != null && isSameSubmission) {
                onEvent(jobStored(effect, found.record, found.version))
            } else {
                onRefused(HttpStatusCode.GATEWAY_TIMEOUT, fault.toString())
            }
        }
    }

    private fun jobStored(
        effect: TrafficEffect.StoreJob,
        record: JobRecord,
        version: Long,
    ) = TrafficEvent.JobStored(effect.request, record, version, effect.submission, effect.lengthHints)

    /** Writes [record], which names this instance as the owner, and loads the job. */
    fun takeOver(
        record: JobRecord,
        version: Long,
    ) {
        jobs.write(record, version) { outcome ->
            when (outcome) {
                is Outcome.Success -> when (val result = outcome.value) {
                    is TransactionResult.Applied -> load(record, result.version)
                    is TransactionResult.Conflict -> onEvent(TrafficEvent.JobRowsRead(result.rows.mapNotNull(::jobRow)))
                }

                is Outcome.Failure -> onEvent(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
            }
        }
    }

    private fun jobRow(row: StoredRow): JobRow? = log.decodeJob(row)?.let { JobRow(row.key, it, row.version) }

    /** Reads the job's rows again. */
    fun reload(record: JobRecord) {
        jobs.find(record.id) { outcome ->
            when (outcome) {
                is Outcome.Success -> outcome.value?.let { load(it.record, it.version) }
                is Outcome.Failure -> onEvent(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
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
                    onEvent(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
                }

                is Outcome.Success -> {
                    val submission = decodeSubmission(outcome.value)
                    if (submission == null) {
                        onEvent(TrafficEvent.JobLoadFailed(record.id, "the submission object cannot be decoded"))
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
                    onEvent(TrafficEvent.JobLoadFailed(record.id, outcome.fault.toString()))
                }

                is Outcome.Success -> {
                    val listedIds = outcome.value.map { it.id }
                    val hints = lengthHints(submission)
                    loadProgress(TrafficEvent.JobLoaded(record, version, submission, hints, listedIds))
                }
            }
        }
    }

    private fun loadProgress(loaded: TrafficEvent.JobLoaded) {
        val job = loaded.record.id
        jobs.readProgress(job) { outcome ->
            onEvent(
                when (outcome) {
                    is Outcome.Failure -> TrafficEvent.JobLoadFailed(job, outcome.fault.toString())
                    is Outcome.Success -> loaded.copy(parts = outcome.value)
                },
            )
        }
    }

    /** Releases a job so that another instance can take it over. */
    fun release(effect: TrafficEffect.ReleaseJob) {
        jobs.write(effect.record, effect.version, effect.parts) { outcome ->
            if (outcome is Outcome.Failure) {
                onEvent(TrafficEvent.JobLoadFailed(effect.record.id, outcome.fault.toString()))
            }
        }
    }

    /** Saves the partial texts of running tasks. */
    fun saveProgress(batch: ProgressBatch) {
        jobs.saveProgress(batch) { outcome ->
            val isSaved = outcome is Outcome.Success && outcome.value is TransactionResult.Applied
            val detail = if (outcome is Outcome.Failure) outcome.fault.toString() else "the job's row has changed"
            onEvent(if (isSaved) TrafficEvent.ProgressSaved(batch) else TrafficEvent.ProgressSaveFailed(batch, detail))
        }
    }

    /** Writes a batch of task results. */
    fun writeResults(batch: ResultBatch) {
        jobs.writeResults(batch) { outcome ->
            onEvent(
                when (outcome) {
                    is Outcome.Failure -> TrafficEvent.ResultsWriteFailed(batch, outcome.fault.toString())

                    is Outcome.Success -> when (val result = outcome.value) {
                        is TransactionResult.Applied -> {
                            // Only the write that completes the job changes the job's row and thus its version.
                            val version = if (batch.record.complete) result.version else batch.version
                            TrafficEvent.ResultsWritten(batch, version)
                        }

                        is TransactionResult.Conflict -> {
                            TrafficEvent.ResultsWriteFailed(batch, "the job's row has changed")
                        }
                    }
                },
            )
        }
    }
}
