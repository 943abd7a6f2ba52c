/**
 * Decisions of the runner, which generates the groups that step holders assign to this instance. A result contains all
 * samples of its group or none; each sample carries the weight versions that the engines reported while generating it.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.decisions.Decision
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult

internal typealias RunnerTransition = Transition<RunnerState, RunnerEffect>

/** Applies [next] to the resulting state and appends its effects. */
internal inline fun RunnerTransition.then(next: (RunnerState) -> RunnerTransition): RunnerTransition {
    val following = next(state)
    return RunnerTransition(following.state, effects + following.effects)
}

/** Creates the decision function of the runner under [policy]. */
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
        is RunnerEvent.Assigned -> handleAssignment(state, event, nowMilliseconds)
        is RunnerEvent.Replied -> handleReply(policy, state, event.request, event.reply, nowMilliseconds)
        is RunnerEvent.NotAccepted -> postponeSample(state, event.request, RESUBMIT_DELAY_MILLISECONDS, nowMilliseconds)
        is RunnerEvent.Scored -> handleScore(policy, state, event.request, event.score, nowMilliseconds)
        is RunnerEvent.Drain -> RunnerTransition(state.copy(draining = true))
        is RunnerEvent.Tick -> maintainSamples(policy, state, nowMilliseconds)
    }

private const val RESUBMIT_DELAY_MILLISECONDS = 500L

private fun handleAssignment(
    state: RunnerState,
    event: RunnerEvent.Assigned,
    nowMilliseconds: Long,
): RunnerTransition {
    val name = event.assignment.attemptKey()
    val existing = state.groups[name]
    return when (event.assignment.change) {
        GroupChange.START -> acceptGroup(state, event, existing, nowMilliseconds)
        GroupChange.RAISE -> if (existing == null) RunnerTransition(state) else raise(state, existing, event.assignment)
        GroupChange.CANCEL -> if (existing == null) RunnerTransition(state) else finishGroup(state, name, CANCELLED)
    }
}

private val CANCELLED = GroupResult(failure = "The holder of the step cancelled the group.")

private fun acceptGroup(
    state: RunnerState,
    event: RunnerEvent.Assigned,
    existing: AssignedGroup?,
    nowMilliseconds: Long,
): RunnerTransition {
    val name = event.assignment.attemptKey()
    val refusal = when {
        existing != null && existing.calls.size >= GROUP_CALL_LIMIT -> "Too many calls are waiting for the group."
        existing != null -> null
        state.draining -> "The instance is shutting down."
        state.groups.size >= RUNNER_GROUP_LIMIT -> "The instance has reached its limit of assigned groups."
        else -> null
    }
    val group = existing?.copy(calls = existing.calls.add(event.call))
        ?: AssignedGroup(event.assignment, persistentListOf(event.call), state.nextSequence, nowMilliseconds)
    return if (refusal == null) {
        val next = state.copy(groups = state.groups.put(name, group), nextSequence = state.nextSequence + 1)
        RunnerTransition(next)
    } else {
        RunnerTransition(state, listOf(RunnerEffect.AnswerGroup(event.call, GroupResult(failure = refusal))))
    }
}

/** Raises the minimum version and drops finished samples below it; the next tick checks the samples in flight. */
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
    val fresh = group.finishedSamples.removeAll { sample -> sample.spans.any { it.weightVersion < minimum } }
    val next = group.copy(
        assignment = assignment,
        finishedSamples = fresh,
        staleSamples = group.staleSamples + group.finishedSamples.size - fresh.size,
    )
    return RunnerTransition(state.copy(groups = state.groups.put(assignment.attemptKey(), next)))
        .then { addMissingSamples(it, assignment.attemptKey()) }
}

/** Answers all calls that await the group and cancels its requests in flight. */
internal fun finishGroup(
    state: RunnerState,
    name: GroupAttemptKey,
    result: GroupResult,
): RunnerTransition {
    val group = state.groups[name] ?: return RunnerTransition(state)
    val inFlight = state.samples.filterValues { it.group == name }
    val next = state.copy(
        groups = state.groups.remove(name),
        samples = inFlight.keys.fold(state.samples) { samples, request -> samples.remove(request) },
    )
    val cancelled = inFlight
        .filterValues { it.unscoredSample == null && it.submitAtMilliseconds == null }
        .keys
        .map { RunnerEffect.Cancel(it) }
    val counted = result.copy(additionalSamples = group.additionalSamplesUsed)
    return RunnerTransition(next, cancelled + group.calls.map { RunnerEffect.AnswerGroup(it, counted) })
}
