/**
 * Stores rollout steps in the platform: leases and records in the table service, step requests and frozen batches in
 * the object store. Objects are written before the row that refers to them, so that a committed row never names a
 * missing object.
 */
package org.mulberrypin.service.rollouts

import kotlinx.serialization.KSerializer
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepObjects
import org.mulberrypin.decisions.rollouts.StepOpenCommit
import org.mulberrypin.decisions.rollouts.StepSnapshot
import org.mulberrypin.decisions.rollouts.StepWrite
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
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
        readSnapshot = { readSnapshot(platform, it) },
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

private fun readSnapshot(
    platform: Platform,
    key: StepKey,
): Outcome<StepSnapshot> =
    readRows(platform, listOf(leaseRowKey(key), recordRowKey(key), trainerRowKey(key)))
        .then { rows -> parseSnapshot(key, rows) }
        .then { snapshot -> withHeartbeat(platform, snapshot) }

private fun readRows(
    platform: Platform,
    keys: List<String>,
): Outcome<Map<String, TableRow>> = platform.tables.read(keys).map { rows -> rows.associateBy { it.key } }

private fun parseSnapshot(
    key: StepKey,
    rows: Map<String, TableRow>,
): Outcome<StepSnapshot> =
    parseRow(rows[leaseRowKey(key)], LeaseRecord.serializer()).then { lease ->
        parseRow(rows[recordRowKey(key)], StepRecord.serializer()).then { record ->
            parseRow(rows[trainerRowKey(key)], TrainerRecord.serializer()).map { trainer ->
                StepSnapshot(lease, record, trainer)
            }
        }
    }

private fun withHeartbeat(
    platform: Platform,
    snapshot: StepSnapshot,
): Outcome<StepSnapshot> {
    val holder = snapshot.lease?.record?.holder ?: return Outcome.Success(snapshot)
    val row = heartbeatRowKey(holder)
    return readRows(platform, listOf(row))
        .then { parseRow(it[row], LeaseRecord.serializer()) }
        .map { snapshot.copy(heartbeat = it) }
}

private fun open(
    platform: Platform,
    opening: StepOpenCommit,
): Pair<StoreResult, StepObjects?> {
    val newRequest = opening.newRequest
    if (newRequest != null) {
        val content = encodeWireJson(StepRequest.serializer(), newRequest)
        if (platform.objects.put(opening.record.record.requestObject, content) is Outcome.Failure) {
            return StoreResult.FAILED to null
        }
    }
    val result = commit(platform, openingCommit(opening))
    val objects = if (result == StoreResult.COMMITTED) readObjects(platform, opening) else null
    return if (result == StoreResult.COMMITTED && objects == null) StoreResult.FAILED to null else result to objects
}

private fun openingCommit(opening: StepOpenCommit): TableCommit {
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
        opening.newRequest?.let { recordRowWrite(key, opening.record.record) },
        trainer?.let { trainerRowWrite(key, it.record) },
    )
    val deletions = opening.deletedSteps.flatMap { expired ->
        listOf(leaseRowKey(expired), recordRowKey(expired)).map { TableWrite(it, delete = true) }
    }
    return TableCommit(conditions, writes + deletions)
}

private fun readObjects(
    platform: Platform,
    opening: StepOpenCommit,
): StepObjects? {
    val record = opening.record.record
    val request = opening.newRequest?.let { Outcome.Success(it) }
        ?: readObject(platform, record.requestObject, StepRequest.serializer())
    val batch = record.frozen?.let { readObject(platform, it.batchObject, Batch.serializer()) }
    return when {
        request !is Outcome.Success || batch is Outcome.Failure -> null
        else -> StepObjects(request.value, (batch as? Outcome.Success)?.value)
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
): Boolean = platform.objects.put(name, encodeWireJson(Batch.serializer(), batch)) is Outcome.Success

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
