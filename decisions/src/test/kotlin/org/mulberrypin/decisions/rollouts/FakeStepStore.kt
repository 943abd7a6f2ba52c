package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TrainerRecord

/** An in-memory table with conditional writes, and an in-memory object store. */
internal class FakeStepStore {
    private val leases = mutableMapOf<StepKey, Versioned<LeaseRecord>>()
    private val records = mutableMapOf<StepKey, Versioned<StepRecord>>()
    private val trainers = mutableMapOf<String, Versioned<TrainerRecord>>()
    private val heartbeats = mutableMapOf<String, Versioned<LeaseRecord>>()
    private val requests = mutableMapOf<String, StepRequest>()
    private val batches = mutableMapOf<String, Batch>()
    var writes = 0
    var takeovers = 0
    var voided = 0

    fun readSnapshot(key: StepKey): StepSnapshot {
        val lease = leases[key]
        return StepSnapshot(lease, records[key], trainers[key.owner], lease?.let { heartbeats[it.record.holder] })
    }

    fun open(opening: StepOpenCommit): Pair<StoreResult, StepObjects?> {
        val key = opening.key
        opening.newRequest?.let { requests[opening.record.record.requestObject] = it }
        val trainer = opening.trainer
        val conditionsHold = leases.versionOf(key) == opening.lease.version &&
            records.versionOf(key) == opening.record.version &&
            (trainer == null || trainers.versionOf(key.owner) == trainer.version)
        if (!conditionsHold) {
            return StoreResult.CONFLICT to null
        }
        writes++
        takeovers += if (opening.newRequest == null) 1 else 0
        leases.write(key, opening.lease.record)
        heartbeats.write(opening.heartbeat.holder, opening.heartbeat)
        trainer?.let { trainers.write(key.owner, it.record) }
        if (opening.newRequest != null) {
            records.write(key, opening.record.record)
        }
        val record = records.getValue(key).record
        val batch = record.frozen?.let { batches.getValue(it.batchObject) }
        return StoreResult.COMMITTED to StepObjects(requests.getValue(record.requestObject), batch)
    }

    fun write(write: StepWrite): StoreResult {
        write.batch?.let { batch ->
            val name = checkNotNull(write.record.frozen).batchObject
            check(batches[name] == null || batches[name] == batch) { "Object $name was written with other content." }
            batches[name] = batch
        }
        val conditionsHold = leases.versionOf(write.key) == write.leaseVersion &&
            records.versionOf(write.key) == write.recordVersion
        if (conditionsHold) {
            writes++
            voided += write.record.voided.size - records
                .getValue(write.key)
                .record.voided.size
            records.write(write.key, write.record)
        }
        return if (conditionsHold) StoreResult.COMMITTED else StoreResult.CONFLICT
    }

    fun renew(heartbeat: LeaseRecord) = heartbeats.write(heartbeat.holder, heartbeat)

    fun release(
        key: StepKey,
        lease: Versioned<LeaseRecord>,
    ) {
        if (leases.versionOf(key) == lease.version) {
            leases.write(key, lease.record)
        }
    }

    private fun <Key, Record> Map<Key, Versioned<Record>>.versionOf(key: Key): Long = this[key]?.version ?: 0

    private fun <Key, Record> MutableMap<Key, Versioned<Record>>.write(
        key: Key,
        record: Record,
    ) {
        this[key] = Versioned(versionOf(key) + 1, record)
    }
}
