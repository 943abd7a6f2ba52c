/** Computes the step record that a call for a batch leads to. All functions are total and idempotent. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.AbandonedGroup
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchRecord
import org.mulberrypin.schema.generated.StepRecord

/** Returns why [acknowledged] cannot be acknowledged, or null if it can. */
internal fun StepRecord.acknowledgementError(acknowledged: Long): String? =
    when {
        acknowledged == this.acknowledged || acknowledged == frozen?.number -> null
        acknowledged in voided -> "Batch $acknowledged was voided; discard it and acknowledge ${this.acknowledged}."
        else -> "Batch $acknowledged cannot be acknowledged; the last acknowledged batch is ${this.acknowledged}."
    }

/** Plans the record for a call; [step] must already be at the trainer version that the call names. */
internal fun planRecord(
    policy: StepPolicy,
    step: HeldStep,
    acknowledged: Long,
): StepPlan {
    val updated = step.record.record
        .acknowledge(acknowledged)
        .voidStaleBatch(step.minimumVersion)
        .copy(
            abandoned = step.abandoned.entries
                .map { AbandonedGroup(it.key, it.value) }
                .sortedBy { it.group },
        )
    val chosen = step.ready.entries
        .filter { it.value.oldestVersion >= step.minimumVersion }
        .sortedWith(compareBy({ it.value.oldestVersion }, { it.key }))
        .take(policy.batchGroups)
    return when {
        updated.frozen != null -> StepPlan(updated, batch = null)
        chosen.isEmpty() -> StepPlan(updated.copy(complete = updated.isDone(step.request.groups.size)), batch = null)
        else -> updated.freeze(step, chosen.associate { it.toPair() })
    }
}

private fun StepRecord.acknowledge(number: Long): StepRecord =
    if (frozen == null || frozen?.number != number) {
        this
    } else {
        copy(acknowledged = number, delivered = (delivered + frozen?.groups.orEmpty()).sorted(), frozen = null)
    }

private fun StepRecord.voidStaleBatch(minimumVersion: Long): StepRecord {
    val stale = frozen?.takeIf { it.oldestVersion < minimumVersion } ?: return this
    return copy(voided = voided + stale.number, frozen = null)
}

private fun StepRecord.isDone(groups: Int): Boolean = delivered.size + abandoned.size == groups

private fun StepRecord.freeze(
    step: HeldStep,
    chosen: Map<Int, ReadyGroup>,
): StepPlan {
    val number = lastNumber + 1
    val frozen = BatchRecord(
        number = number,
        batchObject = "${step.key.objectPrefix}/batch-${step.lease.fencingNumber}-$number",
        groups = chosen.keys.sorted(),
        oldestVersion = chosen.values.minOf { it.oldestVersion },
    )
    val batch = Batch(
        trainer = step.key.trainer,
        step = step.key.step,
        number = number,
        groups = chosen.values.map { it.group },
        groupsLeft = step.request.groups.size - delivered.size - abandoned.size - chosen.size,
    )
    return StepPlan(copy(frozen = frozen, lastNumber = number), batch)
}

/** Prefix of the names of all objects of a step. */
internal val StepKey.objectPrefix: String
    get() = "rollouts/$team/$trainer/$step"
