package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupAssignment

/** Identifies an attempt at a group uniquely over all holders of its step. */
public data class GroupAttemptKey(
    val key: StepKey,
    val group: String,
    val fencingNumber: Long,
    val attempt: Int,
)

/** Returns the key of the attempt that this assignment refers to. */
public fun GroupAssignment.attemptKey(): GroupAttemptKey =
    GroupAttemptKey(StepKey(team, trainer, step), group.group, fencingNumber, attempt)
