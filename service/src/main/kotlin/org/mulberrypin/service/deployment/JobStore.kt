/**
 * Batch jobs in the platform's store: the submission is an object; the job, its results and the saved parts of texts
 * that are not complete are rows. A result that is larger than a row is written in pieces.
 */
package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.ProgressBatch
import org.mulberrypin.decisions.traffic.ResultBatch
import org.mulberrypin.platform.deployment.Answer
import org.mulberrypin.platform.deployment.NEXT_CHARACTER
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionAnswer
import org.mulberrypin.platform.deployment.readAllRows
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.TaskPart
import org.mulberrypin.schema.generated.TaskResult

/** A job's row. */
internal data class StoredJob(
    val record: JobRecord,
    val version: Long,
)

/** Results of a job from a position on; [complete] is true when the job has no more of them now. */
internal data class ResultPage(
    val results: List<TaskResult>,
    val complete: Boolean,
)

/** Reads the record of a job's row, or answers null when it is none. */
internal fun DecisionLog.decodeJob(row: StoredRow): JobRecord? = decodeRecord(row, JobRecord.serializer())

internal class JobStore(
    private val store: RowStore,
    private val log: DecisionLog,
) {
    /** Reads a job's row; null when there is none. */
    fun find(
        job: String,
        answer: Answer<StoredJob?>,
    ) {
        val range = RowRange(StoreTables.JOBS, partitionOf(job), job, job + NEXT_CHARACTER, limit = 1)
        store.readRows(range) { page ->
            answer(
                page.map { found ->
                    val row = found.rows.firstOrNull { it.key == job }
                    row?.let(log::decodeJob)?.let { StoredJob(it, row.version) }
                },
            )
        }
    }

    /**
     * Writes a job's row on the condition that it still has [version], and [parts] of its tasks with it; 0 stands for a
     * job that does not exist.
     */
    fun write(
        record: JobRecord,
        version: Long,
        parts: List<TaskPart> = emptyList(),
        answer: Answer<TransactionAnswer>,
    ) = store.transact(
        RowTransaction(
            conditions = listOf(unchanged(record, version)),
            writes = parts.map { partWrite(record, it) } + jobWrite(record),
        ),
        answer,
    )

    /** Saves parts of tasks; nothing is written unless the job's row is unchanged. */
    fun saveProgress(
        batch: ProgressBatch,
        answer: Answer<TransactionAnswer>,
    ) = store.transact(
        RowTransaction(
            conditions = listOf(unchanged(batch.record, batch.version)),
            writes = batch.parts.map { partWrite(batch.record, it) },
        ),
        answer,
    )

    /** Reads the saved parts of a job's tasks; a part that cannot be read is left out, and what follows it with it. */
    fun readProgress(
        job: String,
        answer: Answer<List<TaskPart>>,
    ) {
        val range = RowRange(StoreTables.PROGRESS, partitionOf(job), "$job/", keysEnd(job))
        store.readAllRows(range) { rows ->
            answer(rows.map { found -> found.mapNotNull { log.decodeRecord(it, TaskPart.serializer()) } })
        }
    }

    /** Writes results behind those that are listed; nothing is written unless the job's row is unchanged. */
    fun writeResults(
        batch: ResultBatch,
        answer: Answer<TransactionAnswer>,
    ) {
        val job = batch.record.id
        val partition = partitionOf(job)
        val rows = batch.results.flatMapIndexed { index, result ->
            pieces(recordJson.encodeToString(TaskResult.serializer(), result)).mapIndexed { piece, text ->
                RowWrite(StoreTables.RESULTS, partition, resultKey(job, batch.firstPosition + index, piece), text)
            }
        }
        val completion = if (batch.record.complete) listOf(jobWrite(batch.record)) else emptyList()
        val first = resultKey(job, batch.firstPosition, 0)
        val transaction = RowTransaction(
            conditions = listOf(
                unchanged(batch.record, batch.version),
                RowCondition(StoreTables.RESULTS, partition, first, 0),
            ),
            writes = rows + completion,
        )
        store.transact(transaction, answer)
    }

    /** Reads results from [position] on, as many as the store hands out at once. */
    fun readResults(
        job: String,
        position: Int,
        answer: Answer<ResultPage>,
    ) {
        val range = RowRange(
            StoreTables.RESULTS,
            partitionOf(job),
            resultKey(job, position, 0),
            keysEnd(job),
            RESULT_ROWS,
        )
        store.readRows(range) { page ->
            answer(
                when (page) {
                    is Outcome.Failure -> page
                    is Outcome.Success -> joinPieces(page.value.rows, page.value.more, log)
                },
            )
        }
    }

    /** Reads all results of a job. */
    fun readAllResults(
        job: String,
        known: List<TaskResult> = emptyList(),
        answer: Answer<List<TaskResult>>,
    ) {
        readResults(job, known.size) { page ->
            when {
                page is Outcome.Failure -> {
                    answer(page)
                }

                page is Outcome.Success && !page.value.complete -> {
                    readAllResults(job, known + page.value.results, answer)
                }

                page is Outcome.Success -> {
                    answer(Outcome.Success(known + page.value.results))
                }
            }
        }
    }

    private fun unchanged(
        record: JobRecord,
        version: Long,
    ) = RowCondition(StoreTables.JOBS, partitionOf(record.id), record.id, version)

    private fun partWrite(
        record: JobRecord,
        part: TaskPart,
    ): RowWrite {
        val value = recordJson.encodeToString(TaskPart.serializer(), part)
        return RowWrite(StoreTables.PROGRESS, partitionOf(record.id), partKey(record.id, part), value)
    }

    private fun jobWrite(record: JobRecord): RowWrite {
        val value = recordJson.encodeToString(JobRecord.serializer(), record)
        return RowWrite(StoreTables.JOBS, partitionOf(record.id), record.id, value)
    }
}

private fun pieces(text: String): List<String> {
    val parts = text.chunked(PIECE_CHARACTERS)
    return parts.mapIndexed { index, part -> (if (index == parts.lastIndex) LAST_PIECE else FURTHER_PIECE) + part }
}

private fun joinPieces(
    rows: List<StoredRow>,
    more: Boolean,
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
    return Outcome.Success(ResultPage(results, complete = !more))
}

private fun unreadableResult(row: StoredRow): Outcome.Failure =
    Outcome.Failure(Fault("result read", "store", FaultKind.REFUSED, "expected a result under ${row.key}"))

private const val LAST_PIECE = "L"
private const val FURTHER_PIECE = "F"

/** Characters of a piece; each takes at most three bytes, and a row holds 64 KiB. */
private const val PIECE_CHARACTERS = 20_000

/** Rows of one reading of results; at 6 KB a result, 40 of them stay under the largest answer of a trainer. */
private const val RESULT_ROWS = 40
