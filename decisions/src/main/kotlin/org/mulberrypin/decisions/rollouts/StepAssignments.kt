/** Which group goes to which instance next. */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.GroupChange

/** Characters of finished groups that wait for trainers on one instance; above it no further group is started. */
public const val READY_CHARACTER_LIMIT: Long = 16_000_000

/** Assigns waiting groups until the limits of all steps are reached or none waits. */
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
    val readyCharacters = state.held.values.sumOf { it.readyCharacters }
    val choices = state.held.values
        .filter { hasRoom(policy, it) && readyCharacters < READY_CHARACTER_LIMIT }
        .flatMap { step -> choicesOf(state, step, nowMilliseconds) }
    if (choices.isEmpty()) {
        return null
    }
    val candidates = choices.map { GroupCandidate(it.step.key.owner, it.expectedTokens, it.group.toLong()) }
    val underWay = state.held.values
        .groupBy { it.key.owner }
        .mapValues { (_, steps) -> steps.sumOf { it.samplesUnderWay } }
    return choices[policy.order(candidates, underWay)]
}

private fun hasRoom(
    policy: StepPolicy,
    step: HeldStep,
): Boolean =
    step.waiting.isNotEmpty() &&
        step.samplesUnderWay < policy.inFlightSamples

private fun choicesOf(
    state: StepState,
    step: HeldStep,
    nowMilliseconds: Long,
): List<GroupChoice> =
    step.waiting.entries
        .filter { it.value.notBeforeMilliseconds <= nowMilliseconds }
        .map { GroupChoice(step, it.key, state.expectedTokens(step, it.key)) }

/** Tokens that the longest sample of a group is expected to have; 0 when nothing is known. */
internal fun StepState.expectedTokens(
    step: HeldStep,
    group: Int,
): Long = histories[step.key.owner]?.predictTokens(step.promptDigests[group]) ?: 0

/** Starts a further attempt at a group on the instance that is expected to end it first. */
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
    val faults = running?.faults ?: step.waiting[group]?.faults ?: 0
    val attempts = running?.attempts ?: persistentMapOf()
    val next = step.copy(
        waiting = step.waiting.remove(group),
        running = step.running.put(group, RunningGroup(faults, attempts.put(number, attempt))),
        nextAttempt = number + 1,
        additionalSamplesLeft = step.additionalSamplesLeft - granted,
    )
    val assignment = assignmentOf(next, group, number, GroupChange.START)
        .copy(expectedTokens = choice.expectedTokens, additionalSamples = granted)
    return StepTransition(state.put(next), listOf(StepEffect.AssignGroup(instance, assignment)))
}

private const val ADDITIONAL_SAMPLES_PER_GROUP = 1
