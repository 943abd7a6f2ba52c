/** Periodic handling of samples: submits due samples, replaces stale ones and starts backups for stragglers. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupResult

/** A backup sample is started for a sample with more than this multiple of its expected tokens. */
public const val SAMPLE_STRAGGLER_FACTOR: Int = 2

/** Stale samples per requested sample after which an attempt fails. */
public const val STALE_LIMIT_PER_SAMPLE: Int = 4

internal fun maintainSamples(
    policy: RunnerPolicy,
    state: RunnerState,
    nowMilliseconds: Long,
): RunnerTransition =
    state.samples.keys
        .fold(RunnerTransition(state)) { transition, request ->
            transition.then { replaceIfUndeliverable(policy, it, request, nowMilliseconds) }
        }.then { current ->
            current.groups.keys.fold(RunnerTransition(current)) { transition, name ->
                transition
                    .then { startBackupSample(it, name, nowMilliseconds) }
                    .then { submitDueSamples(policy, it, name, nowMilliseconds) }
            }
        }

private fun replaceIfUndeliverable(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples[request]
    val group = sample?.let { state.groups[it.group] }
    return if (sample == null || group == null || canBeDelivered(state, group, sample, nowMilliseconds)) {
        RunnerTransition(state)
    } else {
        replaceStaleSample(policy, state, request, nowMilliseconds)
    }
}

/**
 * Returns whether a sample meets the minimum weight version now and is predicted to meet it when it ends. The
 * prediction counts only if a new sample, started on the newest weights, is predicted to meet it.
 */
private fun canBeDelivered(
    state: RunnerState,
    group: AssignedGroup,
    sample: RunningSample,
    nowMilliseconds: Long,
): Boolean {
    val oldest = sample.unscoredSample?.spans?.minOf { it.weightVersion } ?: sample.oldestVersion ?: return true
    val assignment = group.assignment
    val elapsed = nowMilliseconds - sample.startedMilliseconds
    val remaining = if (sample.unscoredSample == null) {
        predictRemainingMilliseconds(sample.tokens, assignment.expectedTokens, elapsed)
    } else {
        0
    }
    val interval = assignment.versionIntervalMilliseconds
    val expectedMinimum = predictMinimumVersion(assignment.minimumWeightVersion, remaining, interval)
    val minimumForNew = predictMinimumVersion(assignment.minimumWeightVersion, elapsed + remaining, interval)
    val isNewBetter = state.newestVersion >= minimumForNew
    return oldest >= assignment.minimumWeightVersion && (oldest >= expectedMinimum || !isNewBetter)
}

/** Replaces a sample that is stale or predicted to become stale, or fails the attempt after too many of them. */
internal fun replaceStaleSample(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples.getValue(request)
    val group = state.groups.getValue(sample.group)
    val updatedGroup = group.copy(staleSamples = group.staleSamples + 1)
    val next = state.copy(
        samples = state.samples.remove(request),
        groups = state.groups.put(sample.group, updatedGroup),
    )
    val cancelled = if (sample.unscoredSample == null) listOf(RunnerEffect.Cancel(request)) else emptyList()
    val isOverLimit = updatedGroup.staleSamples > updatedGroup.assignment.group.samples * STALE_LIMIT_PER_SAMPLE
    val following = if (isOverLimit) {
        finishGroup(next, sample.group, GroupResult(failure = STALE_FAILURE, groupAtFault = true))
    } else {
        addMissingSamples(next, sample.group).then { submitDueSamples(policy, it, sample.group, nowMilliseconds) }
    }
    return RunnerTransition(following.state, cancelled + following.effects)
}

private const val STALE_FAILURE = "its samples take longer than the staleness bound permits"

/** Starts a backup sample for one that is much longer than expected; the first samples to complete are used. */
private fun startBackupSample(
    state: RunnerState,
    name: GroupAttemptKey,
    nowMilliseconds: Long,
): RunnerTransition {
    val group = state.groups[name]?.takeIf { it.started } ?: return RunnerTransition(state)
    val expected = group.assignment.expectedTokens
    val samples = state.samples.values.filter { it.group == name && it.unscoredSample == null }
    val hasStraggler = expected > 0 && samples.any {
        it.tokens > expected * SAMPLE_STRAGGLER_FACTOR && it.startedMilliseconds < nowMilliseconds
    }
    val mayAdd = group.additionalSamplesUsed < group.assignment.additionalSamples
    return if (hasStraggler && mayAdd) {
        val updatedGroup = group.copy(additionalSamplesUsed = group.additionalSamplesUsed + 1)
        RunnerTransition(addSample(state.copy(groups = state.groups.put(name, updatedGroup)), name))
    } else {
        RunnerTransition(state)
    }
}
