/** Periodic handling of steps: heartbeats, repeated writes, expired holders, idle steps and stragglers. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.LeaseRecord

/** Time without a call from its trainer after which a step is released; its record is kept. */
public const val IDLE_STEP_TIMEOUT_MILLISECONDS: Long = 3_600_000

/** Maximum number of concurrent attempts at one group. */
public const val PARALLEL_ATTEMPT_LIMIT: Int = 2

/** A backup attempt is started for a group that runs longer than this multiple of its expected duration. */
public const val GROUP_STRAGGLER_FACTOR: Int = 3

internal fun maintainSteps(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    renewHeartbeat(policy, state, nowMilliseconds)
        .andThen { retryWrites(it, nowMilliseconds) }
        .andThen { lookUpExpiredHolders(policy, it, nowMilliseconds) }
        .andThen { releaseIdleSteps(policy, it, nowMilliseconds) }
        .andThen { startBackupAttempts(policy, it, nowMilliseconds) }

/** Writes one heartbeat for all held steps, and reads their leases to detect takeovers without waiting for a call. */
private fun renewHeartbeat(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    if (state.heldSteps.isEmpty() || nowMilliseconds < state.nextRenewalMilliseconds) {
        StepTransition(state)
    } else {
        val heartbeat = policy.nextHeartbeat(state)
        val next = state.copy(
            renewals = heartbeat.renewals,
            nextRenewalMilliseconds = nowMilliseconds + policy.renewalMilliseconds,
        )
        val checks = state.heldSteps.values
            .filter { it.work == StepWork.None }
            .map { StepEffect.ReadSnapshot(it.key) }
        StepTransition(next, listOf(StepEffect.Renew(heartbeat)) + checks)
    }

private fun retryWrites(
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.heldSteps.values.fold(StepTransition(state)) { transition, step ->
        val work = step.work
        val retryAt = (work as? StepWork.Writing)?.retryAtMilliseconds
        if (work !is StepWork.Writing || retryAt == null || retryAt > nowMilliseconds) {
            transition
        } else {
            val retried = step.copy(work = work.copy(retryAtMilliseconds = null))
            transition.andThen { StepTransition(it.put(retried), listOf(StepEffect.Write(work.write))) }
        }
    }

private fun lookUpExpiredHolders(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.watches
        .filterValues { nowMilliseconds - it.sinceMilliseconds >= policy.leaseMilliseconds }
        .keys
        .filter { it !in state.lookups && it !in state.heldSteps }
        .fold(StepTransition(state)) { transition, key -> transition.andThen { lookUp(it, key, call = null) } }

private fun releaseIdleSteps(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.heldSteps.values
        .filter { nowMilliseconds - it.lastCallMilliseconds >= IDLE_STEP_TIMEOUT_MILLISECONDS }
        .fold(StepTransition(state)) { transition, step -> transition.andThen { releaseStep(policy, it, step) } }

/** Stops holding a step and releases its lease; a write in progress may still commit, which is harmless. */
internal fun releaseStep(
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
    return stopHolding(state, step).let { it.copy(effects = it.effects + released) }
}

/**
 * Starts backup attempts for groups that take much longer than expected or whose instance is no longer listed. The
 * samples of a backup attempt are charged to the additional samples of the step, unless the instance is unlisted.
 */
private fun startBackupAttempts(
    policy: StepPolicy,
    state: StepState,
    nowMilliseconds: Long,
): StepTransition =
    state.heldSteps.values.fold(StepTransition(state)) { transition, step ->
        step.running.keys.fold(transition) { current, group ->
            current.andThen { startBackupAttempt(policy, it, step.key, group, nowMilliseconds) }
        }
    }

private fun startBackupAttempt(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    group: Int,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[key] ?: return StepTransition(state)
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
    return elapsedMilliseconds > expected * GROUP_STRAGGLER_FACTOR
}

/** Releases steps whose trainer's key was withdrawn; calls under another key of the team can continue them. */
internal fun releaseStepsWithoutKey(
    policy: StepPolicy,
    state: StepState,
    keys: Set<Pair<String, String>>,
): StepTransition =
    state.heldSteps.values
        .filter { it.key.team to it.keyName !in keys }
        .fold(StepTransition(state)) { transition, step -> transition.andThen { releaseStep(policy, it, step) } }

/** Releases all steps to other instances, which generate the unfinished groups again. */
internal fun releaseAllSteps(
    policy: StepPolicy,
    state: StepState,
): StepTransition =
    state.heldSteps.values
        .fold(StepTransition(state.copy(draining = true, instances = state.instances.remove(policy.instance)))) {
            transition,
            step,
            ->
            transition.andThen { releaseStep(policy, it, step) }
        }
