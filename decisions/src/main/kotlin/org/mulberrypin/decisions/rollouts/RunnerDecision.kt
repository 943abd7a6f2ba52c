/**
 * The decisions about generating the groups that holders of steps assign to this instance. A group is answered whole
 * or not at all; each sample names the weight versions that the engines named while they produced it.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.decisions.Decision
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult

internal typealias RunnerTransition = Transition<RunnerState, RunnerEffect>

/** Continues with [next] from the state reached and appends its effects. */
internal inline fun RunnerTransition.then(next: (RunnerState) -> RunnerTransition): RunnerTransition {
    val following = next(state)
    return RunnerTransition(following.state, effects + following.effects)
}

/** Creates the decision about generating groups under [policy]. */
public fun runnerDecision(policy: RunnerPolicy): Decision<RunnerState, RunnerEvent, RunnerEffect> =
    { state, event, nowMilliseconds ->
        decideRunner(policy, state, event, nowMilliseconds)
            .then { startGroups(policy, it, nowMilliseconds) }
    }

private fun decideRunner(
    policy: RunnerPolicy,
    state: RunnerState,
    event: RunnerEvent,
    nowMilliseconds: Long,
): RunnerTransition =
    when (event) {
        is RunnerEvent.Assigned -> assign(state, event, nowMilliseconds)
        is RunnerEvent.Replied -> takeReply(policy, state, event.request, event.reply, nowMilliseconds)
        is RunnerEvent.NotTaken -> postponeSample(state, event.request, NOT_TAKEN_WAIT_MILLISECONDS, nowMilliseconds)
        is RunnerEvent.Scored -> takeScore(policy, state, event.request, event.score, nowMilliseconds)
        is RunnerEvent.Drain -> RunnerTransition(state.copy(draining = true))
        is RunnerEvent.Tick -> tendSamples(policy, state, nowMilliseconds)
    }

private const val NOT_TAKEN_WAIT_MILLISECONDS = 500L

private fun assign(
    state: RunnerState,
    event: RunnerEvent.Assigned,
    nowMilliseconds: Long,
): RunnerTransition {
    val name = event.assignment.groupName()
    val known = state.groups[name]
    return when (event.assignment.change) {
        GroupChange.START -> start(state, event, known, nowMilliseconds)
        GroupChange.RAISE -> if (known == null) RunnerTransition(state) else raise(state, known, event.assignment)
        GroupChange.CANCEL -> if (known == null) RunnerTransition(state) else endGroup(state, name, CANCELLED)
    }
}

private val CANCELLED = GroupResult(failure = "The holder ended the group.")

private fun start(
    state: RunnerState,
    event: RunnerEvent.Assigned,
    known: AssignedGroup?,
    nowMilliseconds: Long,
): RunnerTransition {
    val name = event.assignment.groupName()
    val refusal = when {
        known != null && known.calls.size >= GROUP_CALL_LIMIT -> "Too many calls wait for the group."
        known != null -> null
        state.draining -> "The instance is shutting down."
        state.groups.size >= RUNNER_GROUP_LIMIT -> "The instance generates too many groups."
        else -> null
    }
    val group = known?.copy(calls = known.calls.add(event.call))
        ?: AssignedGroup(event.assignment, persistentListOf(event.call), state.nextSequence, nowMilliseconds)
    return if (refusal == null) {
        val next = state.copy(groups = state.groups.put(name, group), nextSequence = state.nextSequence + 1)
        RunnerTransition(next)
    } else {
        RunnerTransition(state, listOf(RunnerEffect.AnswerGroup(event.call, GroupResult(failure = refusal))))
    }
}

/** Takes in a higher minimum; finished samples below it are dropped, those under way are looked at by the tick. */
private fun raise(
    state: RunnerState,
    group: AssignedGroup,
    change: GroupAssignment,
): RunnerTransition {
    val minimum = maxOf(group.assignment.minimumWeightVersion, change.minimumWeightVersion)
    val assignment = group.assignment.copy(
        minimumWeightVersion = minimum,
        versionIntervalMilliseconds = change.versionIntervalMilliseconds,
    )
    val fresh = group.finished.removeAll { sample -> sample.spans.any { it.weightVersion < minimum } }
    val next = group.copy(
        assignment = assignment,
        finished = fresh,
        tooOld = group.tooOld + group.finished.size - fresh.size,
    )
    return RunnerTransition(state.copy(groups = state.groups.put(assignment.groupName(), next)))
        .then { fillGroup(it, assignment.groupName()) }
}

/** Answers all calls about a group and cancels what is under way for it. */
internal fun endGroup(
    state: RunnerState,
    name: GroupName,
    result: GroupResult,
): RunnerTransition {
    val group = state.groups[name] ?: return RunnerTransition(state)
    val underWay = state.samples.filterValues { it.group == name }
    val next = state.copy(
        groups = state.groups.remove(name),
        samples = underWay.keys.fold(state.samples) { samples, request -> samples.remove(request) },
    )
    val cancelled = underWay
        .filterValues { it.sample == null && it.submitAtMilliseconds == null }
        .keys
        .map { RunnerEffect.Cancel(it) }
    val counted = result.copy(additionalSamples = group.additionalUsed)
    return RunnerTransition(next, cancelled + group.calls.map { RunnerEffect.AnswerGroup(it, counted) })
}
