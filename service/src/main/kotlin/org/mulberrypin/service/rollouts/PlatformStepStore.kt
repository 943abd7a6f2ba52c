/**
 * Stores rollout steps in the platform: leases and records in the table service, step requests and frozen batches in
 * the object store. Objects are written before the row that refers to them, so that a committed row never names a
 * missing object.
 */
package org.mulberrypin.service.rollouts

import kotlinx.serialization.KSerializer
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepOpened
import org.mulberrypin.decisions.rollouts.StepOpening
import org.mulberrypin.decisions.rollouts.StepView
import org.mulberrypin.decisions.rollouts.StepWrite
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.schema.generated.TrainerRecord

/** Returns a step store that is backed by [platform]. */
public fun platformStepStore(platform: Platform): StepStore =
    StepStore(
        readView = { readView(platform, it) },
        open = { open(platform, it) },
        write = { write(platform, it) },
        renew = { commit(platform, TableCommit(writes = listOf(leaseRowWrite(heartbeatRowKey(it.holder), it)))) },
        release = { key, lease ->
            val row = leaseRowKey(key)
            commit(
                platform,
                TableCommit(listOf(versionCondition(row, lease.version)), listOf(leaseRowWrite(row, lease.record))),
            )
        },
    )

private fun readView(
    platform: Platform,
    key: StepKey,
): Outcome<StepView> =
    readRows(platform, listOf(leaseRowKey(key), recordRowKey(key), trainerRowKey(key)))
        .then { rows -> parseView(key, rows) }
        .then { view -> withHeartbeat(platform, view) }

private fun readRows(
    platform: Platform,
    keys: List<String>,
): Outcome<Map<String, TableRow>> = platform.tables.read(keys).map { rows -> rows.associateBy { it.key } }

private fun parseView(
    key: StepKey,
    rows: Map<String, TableRow>,
): Outcome<StepView> =
    parseRow(rows[leaseRowKey(key)], LeaseRecord.serializer()).then { lease ->
        parseRow(rows[recordRowKey(key)], StepRecord.serializer()).then { record ->
            parseRow(rows[trainerRowKey(key)], TrainerRecord.serializer()).map { trainer ->
                StepView(lease, record, trainer)
            }
        }
    }

private fun withHeartbeat(
    platform: Platform,
    view: StepView,
): Outcome<StepView> {
    val holder = view.lease?.record?.holder ?: return Outcome.Success(view)
    val row = heartbeatRowKey(holder)
    return readRows(platform, listOf(row))
        .then { parseRow(it[row], LeaseRecord.serializer()) }
        .map { view.copy(heartbeat = it) }
}

private fun open(
    platform: Platform,
    opening: StepOpening,
): Pair<StoreResult, StepOpened?> {
    val newStep = opening.newStep
    if (newStep != null) {
        val content = wireJson.encodeToString(StepRequest.serializer(), newStep)
        if (platform.objects.put(opening.record.record.requestObject, content) is Outcome.Failure) {
            return StoreResult.FAILED to null
        }
    }
    val result = commit(platform, openingCommit(opening))
    val opened = if (result == StoreResult.COMMITTED) readOpened(platform, opening) else null
    return if (result == StoreResult.COMMITTED && opened == null) StoreResult.FAILED to null else result to opened
}

private fun openingCommit(opening: StepOpening): TableCommit {
    val key = opening.key
    val trainer = opening.trainer
    val conditions = listOfNotNull(
        versionCondition(leaseRowKey(key), opening.lease.version),
        versionCondition(recordRowKey(key), opening.record.version),
        trainer?.let { versionCondition(trainerRowKey(key), it.version) },
    )
    val writes = listOfNotNull(
        leaseRowWrite(leaseRowKey(key), opening.lease.record),
        leaseRowWrite(heartbeatRowKey(opening.heartbeat.holder), opening.heartbeat),
        opening.newStep?.let { recordRowWrite(key, opening.record.record) },
        trainer?.let { trainerRowWrite(key, it.record) },
    )
    val deletions = opening.forgotten.flatMap { expired ->
        listOf(leaseRowKey(expired), recordRowKey(expired)).map { TableWrite(it, delete = true) }
    }
    return TableCommit(conditions, writes + deletions)
}

private fun readOpened(
    platform: Platform,
    opening: StepOpening,
): StepOpened? {
    val record = opening.record.record
    val request = opening.newStep?.let { Outcome.Success(it) }
        ?: readObject(platform, record.requestObject, StepRequest.serializer())
    val batch = record.frozen?.let { readObject(platform, it.batchObject, Batch.serializer()) }
    return when {
        request !is Outcome.Success || batch is Outcome.Failure -> null
        else -> StepOpened(request.value, (batch as? Outcome.Success)?.value)
    }
}

private fun <Message> readObject(
    platform: Platform,
    name: String,
    serializer: KSerializer<Message>,
): Outcome<Message> =
    platform.objects.get(name).then { content ->
        if (content == null) {
            Outcome.Failure(Fault("read object $name", "object store", FaultKind.REFUSED, "There is no such object."))
        } else {
            parseWireJson(content, serializer, "read object $name", "object store")
        }
    }

private fun write(
    platform: Platform,
    write: StepWrite,
): StoreResult {
    val frozen = write.record.frozen
    val batch = write.batch
    val batchStored = batch == null || frozen == null || putBatch(platform, frozen.batchObject, batch)
    return if (batchStored) commit(platform, writeCommit(write)) else StoreResult.FAILED
}

private fun putBatch(
    platform: Platform,
    name: String,
    batch: Batch,
): Boolean = platform.objects.put(name, wireJson.encodeToString(Batch.serializer(), batch)) is Outcome.Success

private fun writeCommit(write: StepWrite) =
    TableCommit(
        conditions = listOf(
            versionCondition(leaseRowKey(write.key), write.leaseVersion),
            versionCondition(recordRowKey(write.key), write.recordVersion),
        ),
        writes = listOf(recordRowWrite(write.key, write.record)),
    )

private fun commit(
    platform: Platform,
    commit: TableCommit,
): StoreResult =
    when (val outcome = platform.tables.commit(commit)) {
        is Outcome.Failure -> StoreResult.FAILED
        is Outcome.Success -> if (outcome.value.committed) StoreResult.COMMITTED else StoreResult.CONFLICT
    }
