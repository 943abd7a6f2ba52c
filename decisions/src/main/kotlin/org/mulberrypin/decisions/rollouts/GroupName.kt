package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupAssignment

/** Identifies an attempt at a group over all holders of its step. */
public data class GroupName(
    val key: StepKey,
    val group: String,
    val fencingNumber: Long,
    val attempt: Int,
)

/** The attempt that an assignment is about. */
public fun GroupAssignment.groupName(): GroupName =
    GroupName(StepKey(team, trainer, step), group.group, fencingNumber, attempt)
