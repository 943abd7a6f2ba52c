/** Assigns the waiting groups of all held steps to instances. */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.GroupChange

/** Number of characters in undelivered completed groups on one instance from which on no further group is started. */
public const val READY_CHARACTER_LIMIT: Long = 16_000_000

/** Assigns waiting groups until every step has reached a limit or has no group that can be started. */
internal fun assignGroups(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition {
    var current = state
    val effects = mutableListOf<StepEffect>()
    while (current.instances.isNotEmpty()) {
        val choice = chooseGroup(policy, current, nowMilliseconds) ?: break
        val assigned = startAttempt(policy, current, choice, nowMilliseconds)
        current = assigned.state
        effects += assigned.effects
    }
    return StepTransition(current, effects)
}

private fun chooseGroup(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): GroupChoice? {
    val readyCharacters = state.heldSteps.values.sumOf { it.readyCharacters }
    val choices = state.heldSteps.values
        .filter { canStartGroup(policy, it) && readyCharacters < READY_CHARACTER_LIMIT }
        .flatMap { step -> groupChoices(state, step, nowMilliseconds) }
    if (choices.isEmpty()) {
        return null
    }
    val candidates = choices.map { GroupCandidate(it.step.key.owner, it.expectedTokens, it.group.toLong()) }
    val inFlight = state.heldSteps.values
        .groupBy { it.key.owner }
        .mapValues { (_, steps) -> steps.sumOf { it.samplesInFlight } }
    return choices[policy.groupSelector(candidates, inFlight)]
}

private fun canStartGroup(
    policy: StepPolicy,
    step: HeldStep,
): Boolean =
    step.waiting.isNotEmpty() &&
        step.samplesInFlight < policy.sampleInFlightLimit

private fun groupChoices(
    state: StepState,
    step: HeldStep,
    nowMilliseconds: Long,
): List<GroupChoice> =
    step.waiting.entries
        .filter { it.value.notBeforeMilliseconds <= nowMilliseconds }
        .map { GroupChoice(step, it.key, state.expectedTokens(step, it.key)) }

/** Predicts the tokens of the longest sample of a group; 0 when the trainer has no history. */
internal fun StepState.expectedTokens(
    step: HeldStep,
    group: Int,
): Long = histories[step.key.owner]?.predictTokens(step.promptDigests[group]) ?: 0

/** Starts an attempt at a group on the instance that the policy chooses, preferably one without an attempt at it. */
internal fun startAttempt(
    policy: StepPolicy,
    state: StepState,
    choice: GroupChoice,
    nowMilliseconds: Long,
): StepTransition {
    val (step, group) = choice
    val running = step.running[group]
    val avoided = running
        ?.attempts
        ?.values
        ?.map { it.instance }
        .orEmpty()
        .toSet()
    val instance = chooseInstance(policy, state, choice, avoided, nowMilliseconds)
    val granted = step.additionalSamplesLeft.coerceAtMost(ADDITIONAL_SAMPLES_PER_GROUP)
    val number = step.nextAttempt
    val attempt = GroupAttempt(instance, nowMilliseconds, granted)
    val groupFailures = running?.groupFailures ?: step.waiting[group]?.groupFailures ?: 0
    val attempts = running?.attempts ?: persistentMapOf()
    val next = step.copy(
        waiting = step.waiting.remove(group),
        running = step.running.put(group, RunningGroup(groupFailures, attempts.put(number, attempt))),
        nextAttempt = number + 1,
        additionalSamplesLeft = step.additionalSamplesLeft - granted,
    )
    val assignment = assignmentOf(next, group, number, GroupChange.START)
        .copy(expectedTokens = choice.expectedTokens, additionalSamples = granted)
    return StepTransition(state.put(next), listOf(StepEffect.AssignGroup(instance, assignment)))
}

private const val ADDITIONAL_SAMPLES_PER_GROUP = 1
