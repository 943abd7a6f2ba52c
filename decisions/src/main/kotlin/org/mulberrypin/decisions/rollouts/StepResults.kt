/** What follows when an attempt at a group ends. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.SampleGroup

/** Time for which other instances are preferred to one that failed an attempt. */
public const val AVOID_INSTANCE_MILLISECONDS: Long = 5_000

/** Time before a group whose attempt failed is assigned again. */
public const val GROUP_RETRY_MILLISECONDS: Long = 500

internal fun endGroup(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.GroupEnded,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[event.key]?.takeIf { it.lease.fencingNumber == event.fencingNumber }
    val group = step?.let { openGroup(it, event.group) } ?: return StepTransition(state)
    val samples = event.result?.group?.takeIf { isWhole(step, group, it) }
    val isFresh = samples != null && samples.oldestVersion() >= step.minimumVersion
    val attempt = step.running[group]?.attempts?.get(event.attempt)
    return when {
        samples != null && isFresh -> {
            takeGroup(state, step, group, event, samples, nowMilliseconds)
        }

        attempt == null -> {
            StepTransition(state)
        }

        else -> {
            val failed = failAttempt(policy, step, group, event, nowMilliseconds)
            StepTransition(
                state.avoid(event, attempt, nowMilliseconds).put(failed),
                listOf(explainFailure(event, attempt)),
            )
        }
    }
}

/** Prefers other instances for a while, since one that refuses at once would else look idle and get every group. */
private fun StepState.avoid(
    event: StepEvent.GroupEnded,
    attempt: GroupAttempt,
    nowMilliseconds: Long,
): StepState =
    if (isFaultOfGroup(event.result)) {
        this
    } else {
        copy(avoidedUntil = avoidedUntil.put(attempt.instance, nowMilliseconds + AVOID_INSTANCE_MILLISECONDS))
    }

/** The index of a group that still needs a result, or null for any other. */
private fun openGroup(
    step: HeldStep,
    name: String,
): Int? =
    step.request.groups
        .indexOfFirst { it.group == name }
        .takeIf { it in step.running || it in step.waiting }

private fun isWhole(
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

/** Takes the first whole and fresh result of a group; further attempts at it are ended. */
private fun takeGroup(
    state: StepState,
    step: HeldStep,
    group: Int,
    event: StepEvent.GroupEnded,
    samples: SampleGroup,
    nowMilliseconds: Long,
): StepTransition {
    val running = step.running[group]
    val attempt = running?.attempts?.get(event.attempt)
    val faults = running?.faults ?: step.waiting[group]?.faults ?: 0
    val unused = (attempt?.additionalSamples ?: 0) - (event.result?.additionalSamples ?: 0)
    val next = step.copy(
        waiting = step.waiting.remove(group),
        running = step.running.remove(group),
        ready = step.ready.put(group, ReadyGroup(samples, faults, samples.oldestVersion())),
        additionalSamplesLeft = step.additionalSamplesLeft + unused.coerceAtLeast(0),
    )
    val others = running?.attempts.orEmpty().filterKeys { it != event.attempt }.map { (number, other) ->
        StepEffect.AssignGroup(other.instance, assignmentOf(step, group, number, GroupChange.CANCEL))
    }
    val learnt = if (attempt == null) {
        state
    } else {
        state
            .learn(step, group, samples, nowMilliseconds - attempt.startedMilliseconds)
            .learnPace(attempt.instance, samples, nowMilliseconds - attempt.startedMilliseconds)
    }
    return StepTransition(learnt.put(next), others)
}

private fun StepState.learn(
    step: HeldStep,
    group: Int,
    samples: SampleGroup,
    milliseconds: Long,
): StepState {
    val owner = step.key.owner
    val hasRoom = owner in histories || histories.size < HELD_STEP_LIMIT
    val history = (histories[owner] ?: LengthHistory()).add(step.promptDigests[group], samples, milliseconds)
    return if (hasRoom) copy(histories = histories.put(owner, history)) else this
}

private fun StepState.learnPace(
    instance: String,
    samples: SampleGroup,
    milliseconds: Long,
): StepState {
    val tokens = samples.samples.maxOf { it.tokens }
    val first = InstancePace(milliseconds.toDouble() / tokens.coerceAtLeast(1))
    val pace = paces[instance]?.add(milliseconds, tokens) ?: first
    return if (instance in instances) copy(paces = paces.put(instance, pace)) else this
}

private fun failAttempt(
    policy: StepPolicy,
    step: HeldStep,
    group: Int,
    event: StepEvent.GroupEnded,
    nowMilliseconds: Long,
): HeldStep {
    val running = step.running.getValue(group)
    val faults = running.faults + if (isFaultOfGroup(event.result)) 1 else 0
    val granted = running.attempts[event.attempt]?.additionalSamples ?: 0
    val unused = (granted - (event.result?.additionalSamples ?: granted)).coerceAtLeast(0)
    val returned = step.copy(additionalSamplesLeft = step.additionalSamplesLeft + unused)
    val attempts = running.attempts.remove(event.attempt)
    val ended = returned.copy(running = step.running.remove(group))
    return when {
        attempts.isNotEmpty() -> {
            returned.copy(running = step.running.put(group, RunningGroup(faults, attempts)))
        }

        faults >= policy.groupAttemptLimit -> {
            ended.copy(abandoned = step.abandoned.put(group, describe(event.result)))
        }

        else -> {
            val waiting = WaitingGroup(faults, nowMilliseconds + GROUP_RETRY_MILLISECONDS)
            ended.copy(waiting = step.waiting.put(group, waiting))
        }
    }
}

/** A whole group that was too old when it came is the fault of its length, as far as anybody can tell. */
private fun isFaultOfGroup(result: GroupResult?): Boolean =
    result != null && (result.groupAtFault || result.group != null)

private fun describe(result: GroupResult?): String =
    when {
        result == null -> "its instance was lost"
        result.failure.isNotEmpty() -> result.failure
        else -> "its samples were not whole or older than the staleness bound"
    }

private fun explainFailure(
    event: StepEvent.GroupEnded,
    attempt: GroupAttempt,
): StepEffect {
    val reason = "Attempt ${event.attempt} failed: ${describe(event.result).trimEnd('.')}."
    return StepEffect.Explain(event.key, event.group, attempt.instance, reason)
}
