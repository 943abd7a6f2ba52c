/** How a held step follows the weight version of its trainer. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange

/**
 * Takes in the version that a call of the trainer names. Ready groups that have become too old are generated again;
 * instances are told the new minimum, so that they give up early what can no longer be delivered.
 */
internal fun advanceVersion(
    step: HeldStep,
    request: BatchRequest,
    nowMilliseconds: Long,
): Transition<HeldStep, StepEffect> {
    val pace = step.pace.advanceTo(request.trainerVersion, nowMilliseconds)
    val advanced = step.copy(
        pace = pace,
        keyName = request.keyName.ifEmpty { step.keyName },
        lastAskMilliseconds = nowMilliseconds,
    )
    if (pace == step.pace) {
        return Transition(advanced)
    }
    val tooOld = step.ready.filterValues { it.oldestVersion < advanced.minimumVersion }
    val fresh = advanced.copy(
        ready = tooOld.keys.fold(step.ready) { ready, group -> ready.remove(group) },
        waiting = step.waiting.putAll(tooOld.mapValues { WaitingGroup(faults = it.value.faults) }),
    )
    return Transition(fresh, changeAttempts(fresh, GroupChange.RAISE))
}

/** Tells the instances that generate groups of the step about a change. */
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
        versionIntervalMilliseconds = step.pace.intervalMilliseconds,
        keyName = step.keyName,
    )
