/** How a step's record changes when the trainer asks for a batch. All functions are total and change nothing twice. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.AbandonedGroup
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchRecord
import org.mulberrypin.schema.generated.StepRecord

/** Why a call that acknowledges [acknowledged] is refused, or null when it is in order. */
internal fun StepRecord.refusalOf(acknowledged: Long): String? =
    when {
        acknowledged == this.acknowledged || acknowledged == frozen?.number -> null
        acknowledged in voided -> "Batch $acknowledged was voided; drop it and acknowledge ${this.acknowledged}."
        else -> "Batch $acknowledged cannot be acknowledged; the last acknowledged one is ${this.acknowledged}."
    }

/** Plans the record for a call of the trainer; the step's version has been advanced to the one the call names. */
internal fun planRecord(
    policy: StepPolicy,
    step: HeldStep,
    acknowledged: Long,
): StepPlan {
    val settled = step.record.record
        .acknowledge(acknowledged)
        .voidBefore(step.minimumVersion)
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
        settled.frozen != null -> StepPlan(settled, batch = null)
        chosen.isEmpty() -> StepPlan(settled.copy(complete = settled.isWhole(step.request.groups.size)), batch = null)
        else -> settled.freeze(step, chosen.associate { it.toPair() })
    }
}

private fun StepRecord.acknowledge(number: Long): StepRecord =
    if (frozen == null || frozen?.number != number) {
        this
    } else {
        copy(acknowledged = number, delivered = (delivered + frozen?.groups.orEmpty()).sorted(), frozen = null)
    }

private fun StepRecord.voidBefore(minimumVersion: Long): StepRecord {
    val tooOld = frozen?.takeIf { it.oldestVersion < minimumVersion } ?: return this
    return copy(voided = voided + tooOld.number, frozen = null)
}

private fun StepRecord.isWhole(groups: Int): Boolean = delivered.size + abandoned.size == groups

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

/** The start of the names of all objects of a step. */
internal val StepKey.objectPrefix: String
    get() = "rollouts/$team/$trainer/$step"
