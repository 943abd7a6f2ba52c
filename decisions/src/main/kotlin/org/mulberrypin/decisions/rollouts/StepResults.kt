/** Handles the results of attempts at groups. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.SampleGroup

/** Time for which an instance is avoided after an attempt on it failed. */
public const val AVOID_INSTANCE_MILLISECONDS: Long = 5_000

/** Delay before a group is assigned again after a failed attempt. */
public const val GROUP_RETRY_DELAY_MILLISECONDS: Long = 500

internal fun handleGroupResult(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.GroupEnded,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[event.key]?.takeIf { it.lease.fencingNumber == event.fencingNumber }
    val group = step?.let { pendingGroup(it, event.group) } ?: return StepTransition(state)
    val samples = event.result?.group?.takeIf { isComplete(step, group, it) }
    val isFresh = samples != null && samples.oldestVersion() >= step.minimumVersion
    val attempt = step.running[group]?.attempts?.get(event.attempt)
    return when {
        samples != null && isFresh -> {
            acceptResult(state, step, group, event, samples, nowMilliseconds)
        }

        attempt == null -> {
            StepTransition(state)
        }

        else -> {
            val failed = failAttempt(policy, step, group, event, nowMilliseconds)
            StepTransition(
                state.avoidInstance(event, attempt, nowMilliseconds).put(failed),
                listOf(explainFailure(event, attempt)),
            )
        }
    }
}

/** Avoids the instance for a while; one that refuses immediately has no load and would be chosen for every group. */
private fun StepState.avoidInstance(
    event: StepEvent.GroupEnded,
    attempt: GroupAttempt,
    nowMilliseconds: Long,
): StepState =
    if (isCausedByGroup(event.result)) {
        this
    } else {
        copy(avoidedUntil = avoidedUntil.put(attempt.instance, nowMilliseconds + AVOID_INSTANCE_MILLISECONDS))
    }

/** Returns the index of a group that is running or waiting, or null for any other group. */
private fun pendingGroup(
    step: HeldStep,
    name: String,
): Int? =
    step.request.groups
        .indexOfFirst { it.group == name }
        .takeIf { it in step.running || it in step.waiting }

private fun isComplete(
    step: HeldStep,
    group: Int,
    result: SampleGroup,
): Boolean {
    val wanted = step.request.groups[group]
    val samples = result.samples
    return result.group == wanted.group &&
        samples.size == wanted.samples &&
        samples.distinctBy { it.sample }.size == samples.size &&
        samples.all { sample -> sample.spans.isNotEmpty() && sample.spans.sumOf { it.tokens } == sample.tokens }
}

/** Accepts the first complete result within the staleness bound, and cancels the other attempts at the group. */
private fun acceptResult(
    state: StepState,
    step: HeldStep,
    group: Int,
    event: StepEvent.GroupEnded,
    samples: SampleGroup,
    nowMilliseconds: Long,
): StepTransition {
    val running = step.running[group]
    val attempt = running?.attempts?.get(event.attempt)
    val groupFailures = running?.groupFailures ?: step.waiting[group]?.groupFailures ?: 0
    val unused = (attempt?.additionalSamples ?: 0) - (event.result?.additionalSamples ?: 0)
    val next = step.copy(
        waiting = step.waiting.remove(group),
        running = step.running.remove(group),
        ready = step.ready.put(group, ReadyGroup(samples, groupFailures, samples.oldestVersion())),
        additionalSamplesLeft = step.additionalSamplesLeft + unused.coerceAtLeast(0),
    )
    val others = running?.attempts.orEmpty().filterKeys { it != event.attempt }.map { (number, other) ->
        StepEffect.AssignGroup(other.instance, assignmentOf(step, group, number, GroupChange.CANCEL))
    }
    val updated = if (attempt == null) {
        state
    } else {
        state
            .recordLength(step, group, samples, nowMilliseconds - attempt.startedMilliseconds)
            .recordLatency(attempt.instance, samples, nowMilliseconds - attempt.startedMilliseconds)
    }
    return StepTransition(updated.put(next), others)
}

private fun StepState.recordLength(
    step: HeldStep,
    group: Int,
    samples: SampleGroup,
    milliseconds: Long,
): StepState {
    val owner = step.key.owner
    val hasCapacity = owner in histories || histories.size < HELD_STEP_LIMIT
    val history = (histories[owner] ?: LengthHistory()).add(step.promptDigests[group], samples, milliseconds)
    return if (hasCapacity) copy(histories = histories.put(owner, history)) else this
}

private fun StepState.recordLatency(
    instance: String,
    samples: SampleGroup,
    milliseconds: Long,
): StepState {
    val tokens = samples.samples.maxOf { it.tokens }
    val initial = InstanceLatency(milliseconds.toDouble() / tokens.coerceAtLeast(1))
    val latency = latencies[instance]?.add(milliseconds, tokens) ?: initial
    return if (instance in instances) copy(latencies = latencies.put(instance, latency)) else this
}

private fun failAttempt(
    policy: StepPolicy,
    step: HeldStep,
    group: Int,
    event: StepEvent.GroupEnded,
    nowMilliseconds: Long,
): HeldStep {
    val running = step.running.getValue(group)
    val groupFailures = running.groupFailures + if (isCausedByGroup(event.result)) 1 else 0
    val granted = running.attempts[event.attempt]?.additionalSamples ?: 0
    val unused = (granted - (event.result?.additionalSamples ?: granted)).coerceAtLeast(0)
    val returned = step.copy(additionalSamplesLeft = step.additionalSamplesLeft + unused)
    val attempts = running.attempts.remove(event.attempt)
    val ended = returned.copy(running = step.running.remove(group))
    return when {
        attempts.isNotEmpty() -> {
            returned.copy(running = step.running.put(group, RunningGroup(groupFailures, attempts)))
        }

        groupFailures >= policy.groupAttemptLimit -> {
            ended.copy(abandoned = step.abandoned.put(group, describeFailure(event.result)))
        }

        else -> {
            val waiting = WaitingGroup(groupFailures, nowMilliseconds + GROUP_RETRY_DELAY_MILLISECONDS)
            ended.copy(waiting = step.waiting.put(group, waiting))
        }
    }
}

/**
 * Returns whether the group itself caused the failure. A complete result that is rejected counts as such, because the
 * likely reason for a stale result is the length of the group.
 */
private fun isCausedByGroup(result: GroupResult?): Boolean =
    result != null && (result.groupAtFault || result.group != null)

private fun describeFailure(result: GroupResult?): String =
    when {
        result == null -> "its instance did not answer"
        result.failure.isNotEmpty() -> result.failure
        else -> "its samples were incomplete or violated the staleness bound"
    }

private fun explainFailure(
    event: StepEvent.GroupEnded,
    attempt: GroupAttempt,
): StepEffect {
    val reason = "Attempt ${event.attempt} failed: ${describeFailure(event.result).trimEnd('.')}."
    return StepEffect.Explain(event.key, event.group, attempt.instance, reason)
}
