/** What happens by the clock: heartbeats, repeated writes, watched holders, stragglers, and steps nobody asks about. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord

/** Time without a call of its trainer after which a step is released; its record stays. */
public const val IDLE_STEP_MILLISECONDS: Long = 3_600_000

/** Attempts at one group under way at the same time at most. */
public const val PARALLEL_ATTEMPT_LIMIT: Int = 2

/** A group that takes this many times as long as expected is started again on another instance. */
public const val STRAGGLER_FACTOR: Int = 3

internal fun upkeep(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    renew(policy, state, nowMilliseconds)
        .andThen { repeatWrites(it, nowMilliseconds) }
        .andThen { checkWatches(policy, it, nowMilliseconds) }
        .andThen { releaseIdle(policy, it, nowMilliseconds) }
        .andThen { startStragglersAgain(policy, it, nowMilliseconds) }

/** Writes one heartbeat for all held steps, and reads their leases, so that a lost step is noticed without a call. */
private fun renew(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    if (state.held.isEmpty() || nowMilliseconds < state.nextRenewalMilliseconds) {
        StepTransition(state)
    } else {
        val heartbeat = policy.nextHeartbeat(state)
        val next = state.copy(
            renewals = heartbeat.renewals,
            nextRenewalMilliseconds = nowMilliseconds + policy.renewalMilliseconds,
        )
        val checks = state.held.values
            .filter { it.work == StepWork.None }
            .map { StepEffect.ReadView(it.key) }
        StepTransition(next, listOf(StepEffect.Renew(heartbeat)) + checks)
    }

private fun repeatWrites(
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.held.values.fold(StepTransition(state)) { transition, step ->
        val work = step.work
        val retryAt = (work as? StepWork.Writing)?.retryAtMilliseconds
        if (work !is StepWork.Writing || retryAt == null || retryAt > nowMilliseconds) {
            transition
        } else {
            val again = step.copy(work = work.copy(retryAtMilliseconds = null))
            transition.andThen { StepTransition(it.put(again), listOf(StepEffect.Write(work.write))) }
        }
    }

private fun checkWatches(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.watches
        .filterValues { nowMilliseconds - it.sinceMilliseconds >= policy.leaseMilliseconds }
        .keys
        .filter { it !in state.lookups && it !in state.held }
        .fold(StepTransition(state)) { transition, key -> transition.andThen { lookUp(it, key, ask = null) } }

private fun releaseIdle(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.held.values
        .filter { nowMilliseconds - it.lastAskMilliseconds >= IDLE_STEP_MILLISECONDS }
        .fold(StepTransition(state)) { transition, step -> transition.andThen { release(policy, it, step) } }

/** Gives a step up for good; a write under way may still commit, which does no harm. */
internal fun release(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
): StepTransition {
    val lease = LeaseRecord(
        name = "step/${step.key.owner}/${step.key.step}",
        holder = policy.instance,
        holderIncarnation = policy.incarnation,
        fencingNumber = step.lease.fencingNumber,
        durationMilliseconds = policy.leaseMilliseconds,
        released = true,
    )
    val released = StepEffect.Release(step.key, Versioned(step.lease.rowVersion, lease))
    return loseStep(state, step).let { it.copy(effects = it.effects + released) }
}

/**
 * Starts groups again that take much longer than expected, or whose instance has left the list. Such an attempt counts
 * against the additional samples of the step, unless the instance has left.
 */
private fun startStragglersAgain(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.held.values.fold(StepTransition(state)) { transition, step ->
        step.running.keys.fold(transition) { current, group ->
            current.andThen { startStragglerAgain(policy, it, step.key, group, nowMilliseconds) }
        }
    }

private fun startStragglerAgain(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    group: Int,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[key] ?: return StepTransition(state)
    val attempt = step.running[group]
        ?.attempts
        ?.values
        ?.singleOrNull()
    val samples = step.request.groups[group].samples
    return when {
        attempt == null || state.instances.size < PARALLEL_ATTEMPT_LIMIT -> {
            StepTransition(state)
        }

        attempt.instance !in state.instances -> {
            startAttempt(policy, state, GroupChoice(step, group, state.expectedTokens(step, group)), nowMilliseconds)
        }

        step.waiting.isEmpty() && step.additionalSamplesLeft >= samples &&
            isStraggler(state, step, group, nowMilliseconds - attempt.startedMilliseconds) -> {
            val charged = step.copy(additionalSamplesLeft = step.additionalSamplesLeft - samples)
            startAttempt(policy, state, GroupChoice(charged, group, state.expectedTokens(step, group)), nowMilliseconds)
        }

        else -> {
            StepTransition(state)
        }
    }
}

private fun isStraggler(
    state: StepState,
    step: HeldStep,
    group: Int,
    elapsedMilliseconds: Long,
): Boolean {
    val history = state.histories[step.key.owner] ?: return false
    val expected = history.predictMilliseconds(history.predictTokens(step.promptDigests[group])) ?: return false
    return elapsedMilliseconds > expected * STRAGGLER_FACTOR
}

/** Ends the holding of steps whose trainer's key was withdrawn; another key of the team can go on with them. */
internal fun withdrawKeys(
    policy: StepPolicy,
    state: StepState,
    keys: Set<Pair<String, String>>,
): StepTransition =
    state.held.values
        .filter { it.key.team to it.keyName !in keys }
        .fold(StepTransition(state)) { transition, step -> transition.andThen { release(policy, it, step) } }

/** Hands all steps over to other instances; what they were generating is generated again there. */
internal fun drain(
    policy: StepPolicy,
    state: StepState,
): StepTransition =
    state.held.values
        .fold(StepTransition(state.copy(draining = true, instances = state.instances.remove(policy.instance)))) {
            transition,
            step,
            ->
            transition.andThen { release(policy, it, step) }
        }
