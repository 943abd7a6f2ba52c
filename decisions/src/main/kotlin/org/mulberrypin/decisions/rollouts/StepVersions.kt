/** Updates held steps and their assignments when the weight version of the trainer advances. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange

/**
 * Advances a step to the version that a call of the trainer names. Ready groups that become stale are generated again.
 * The new minimum is sent to the instances, so that they stop early on samples that can no longer be delivered.
 */
internal fun advanceVersion(
    step: HeldStep,
    request: BatchRequest,
    nowMilliseconds: Long,
): Transition<HeldStep, StepEffect> {
    val versionProgress = step.versionProgress.advanceTo(request.trainerVersion, nowMilliseconds)
    val advanced = step.copy(
        versionProgress = versionProgress,
        keyName = request.keyName.ifEmpty { step.keyName },
        lastCallMilliseconds = nowMilliseconds,
    )
    if (versionProgress == step.versionProgress) {
        return Transition(advanced)
    }
    val stale = step.ready.filterValues { it.oldestVersion < advanced.minimumVersion }
    val fresh = advanced.copy(
        ready = stale.keys.fold(step.ready) { ready, group -> ready.remove(group) },
        waiting = step.waiting.putAll(stale.mapValues { WaitingGroup(groupFailures = it.value.groupFailures) }),
    )
    return Transition(fresh, changeAttempts(fresh, GroupChange.RAISE))
}

/** Sends a change to the instances that generate groups of the step. */
internal fun changeAttempts(
    step: HeldStep,
    change: GroupChange,
): List<StepEffect> =
    step.running.flatMap { (group, running) ->
        running.attempts.map { (number, attempt) ->
            StepEffect.AssignGroup(attempt.instance, assignmentOf(step, group, number, change))
        }
    }

internal fun assignmentOf(
    step: HeldStep,
    group: Int,
    attempt: Int,
    change: GroupChange,
): GroupAssignment =
    GroupAssignment(
        trainer = step.key.trainer,
        step = step.key.step,
        team = step.key.team,
        model = step.request.model,
        group = step.request.groups[group],
        maxTokens = step.request.maxTokens,
        attempt = attempt,
        minimumWeightVersion = step.minimumVersion.coerceAtLeast(0),
        deadlineMilliseconds = step.request.deadlineMilliseconds,
        fencingNumber = step.lease.fencingNumber,
        change = change,
        versionIntervalMilliseconds = step.versionProgress.intervalMilliseconds,
        keyName = step.keyName,
    )
