/**
 * Storage of batch jobs in the platform's store: the submission is an object; the job, its results and the saved parts
 * of incomplete texts are rows. A result that is larger than a row is split into pieces.
 */
package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.ProgressBatch
import org.mulberrypin.decisions.traffic.ResultBatch
import org.mulberrypin.platform.deployment.Callback
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.SMALLEST_KEY_CHARACTER
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.platform.deployment.readAllRows
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.chunkedByCharacters
import org.mulberrypin.runtime.map
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.TaskPart
import org.mulberrypin.schema.generated.TaskResult

/** A job's record and the version of its row. */
internal data class StoredJob(
    val record: JobRecord,
    val version: Long,
)

/** Consecutive results of a job; [complete] is true when the job currently has no further results. */
internal data class ResultPage(
    val results: List<TaskResult>,
    val complete: Boolean,
)

/** Decodes the job record in [row]; logs an unreadable row and returns null. */
internal fun DecisionLog.decodeJob(row: StoredRow): JobRecord? = decodeRecord(row, JobRecord.serializer())

/** Reads and writes the rows of batch jobs. */
internal class JobStore(
    private val store: RowStore,
    private val log: DecisionLog,
) {
    /** Reads a job's row; the outcome is null when the row does not exist or is unreadable. */
    fun find(
        job: String,
        callback: Callback<StoredJob?>,
    ) {
        val range = RowRange(StoreTables.JOBS, partitionOf(job), job, job + SMALLEST_KEY_CHARACTER, limit = 1)
        store.readRows(range) { page ->
            callback(
                page.map { found ->
                    val row = found.rows.firstOrNull { it.key == job }
                    row?.let(log::decodeJob)?.let { StoredJob(it, row.version) }
                },
            )
        }
    }

    /**
     * Writes a job's row together with [parts] of its task texts, on the condition that the row still has [version];
     * version 0 means that the row must not exist.
     */
    fun write(
        record: JobRecord,
        version: Long,
        parts: List<TaskPart> = emptyList(),
        callback: Callback<TransactionResult>,
    ) = store.transact(
        RowTransaction(
            conditions = listOf(unchangedCondition(record, version)),
            writes = parts.map { writePart(record, it) } + writeJob(record),
        ),
        callback,
    )

    /** Saves parts of task texts; nothing is written unless the job's row is unchanged. */
    fun saveProgress(
        batch: ProgressBatch,
        callback: Callback<TransactionResult>,
    ) = store.transact(
        RowTransaction(
            conditions = listOf(unchangedCondition(batch.record, batch.version)),
            writes = batch.parts.map { writePart(batch.record, it) },
        ),
        callback,
    )

    /**
     * Reads the saved parts of a job's task texts. Unreadable parts are left out, so the parts that follow them in the
     * same text cannot be used either.
     */
    fun readProgress(
        job: String,
        callback: Callback<List<TaskPart>>,
    ) {
        val range = RowRange(StoreTables.PROGRESS, partitionOf(job), "$job/", keyUpperBound(job))
        store.readAllRows(range) { rows ->
            callback(rows.map { found -> found.mapNotNull { log.decodeRecord(it, TaskPart.serializer()) } })
        }
    }

    /** Appends results to those already listed; nothing is written unless the job's row is unchanged. */
    fun writeResults(
        batch: ResultBatch,
        callback: Callback<TransactionResult>,
    ) {
        val job = batch.record.id
        val partition = partitionOf(job)
        val rows = batch.results.flatMapIndexed { index, result ->
            splitIntoPieces(recordJson.encodeToString(TaskResult.serializer(), result)).mapIndexed { piece, text ->
                RowWrite(StoreTables.RESULTS, partition, resultKey(job, batch.firstPosition + index, piece), text)
            }
        }
        val completion = if (batch.record.complete) listOf(writeJob(batch.record)) else emptyList()
        val firstKey = resultKey(job, batch.firstPosition, 0)
        val transaction = RowTransaction(
            conditions = listOf(
                unchangedCondition(batch.record, batch.version),
                RowCondition(StoreTables.RESULTS, partition, firstKey, 0),
            ),
            writes = rows + completion,
        )
        store.transact(transaction, callback)
    }

    /** Reads one page of results starting at [position]. */
    fun readResults(
        job: String,
        position: Int,
        callback: Callback<ResultPage>,
    ) {
        val range = RowRange(
            StoreTables.RESULTS,
            partitionOf(job),
            resultKey(job, position, 0),
            keyUpperBound(job),
            RESULT_PAGE_ROWS,
        )
        store.readRows(range) { page ->
            callback(
                when (page) {
                    is Outcome.Failure -> page
                    is Outcome.Success -> joinPieces(page.value.rows, page.value.hasMore, log)
                },
            )
        }
    }

    /** Reads all results of a job, page by page; [known] are the results read so far. */
    fun readAllResults(
        job: String,
        known: List<TaskResult> = emptyList(),
        callback: Callback<List<TaskResult>>,
    ) {
        readResults(job, known.size) { page ->
            when {
                page is Outcome.Failure -> {
                    callback(page)
                }

                page is Outcome.Success && !page.value.complete -> {
                    readAllResults(job, known + page.value.results, callback)
                }

                page is Outcome.Success -> {
                    callback(Outcome.Success(known + page.value.results))
                }
            }
        }
    }

    private fun unchangedCondition(
        record: JobRecord,
        version: Long,
    ) = RowCondition(StoreTables.JOBS, partitionOf(record.id), record.id, version)

    private fun writePart(
        record: JobRecord,
        part: TaskPart,
    ): RowWrite {
        val value = recordJson.encodeToString(TaskPart.serializer(), part)
        return RowWrite(StoreTables.PROGRESS, partitionOf(record.id), partKey(record.id, part), value)
    }

    private fun writeJob(record: JobRecord): RowWrite {
        val value = recordJson.encodeToString(JobRecord.serializer(), record)
        return RowWrite(StoreTables.JOBS, partitionOf(record.id), record.id, value)
    }
}

private fun splitIntoPieces(text: String): List<String> {
    val parts = text.chunkedByCharacters(PIECE_CHARACTERS)
    return parts.mapIndexed { index, part -> (if (index == parts.lastIndex) LAST_PIECE else CONTINUED_PIECE) + part }
}

private fun joinPieces(
    rows: List<StoredRow>,
    hasMore: Boolean,
    log: DecisionLog,
): Outcome<ResultPage> {
    val results = ArrayList<TaskResult>()
    val text = StringBuilder()
    for (row in rows) {
        text.append(row.value, 1, row.value.length)
        if (row.value.startsWith(LAST_PIECE)) {
            val result = log.decodeRecord(row.key, text.toString(), TaskResult.serializer())
                ?: return unreadableResult(row)
            results.add(result)
            text.clear()
        }
    }
    return Outcome.Success(ResultPage(results, complete = !hasMore))
}

private fun unreadableResult(row: StoredRow): Outcome.Failure =
    Outcome.Failure(Fault("result read", "store", FaultKind.REFUSED, "expected a task result under ${row.key}"))

private const val LAST_PIECE = "L"
private const val CONTINUED_PIECE = "F"

/** UTF-16 units per piece; each takes at most three bytes in UTF-8, and a row holds at most 64 KiB. */
private const val PIECE_CHARACTERS = 20_000

/** Rows per page of results; 40 results of 6 KB each stay below the largest response that a trainer accepts. */
private const val RESULT_PAGE_ROWS = 40
