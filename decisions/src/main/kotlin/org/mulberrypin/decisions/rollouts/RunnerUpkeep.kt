/** What happens to samples by the clock: refused ones are submitted again, hopeless ones replaced, stragglers raced. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupResult

/** A sample predicted to be this many times as long as expected is raced by an additional one. */
public const val SAMPLE_STRAGGLER_FACTOR: Int = 2

/** Samples of one attempt that may become too old before its holder is told. */
public const val TOO_OLD_LIMIT_PER_SAMPLE: Int = 4

internal fun tendSamples(
    policy: RunnerPolicy,
    state: RunnerState,
    nowMilliseconds: Long,
): RunnerTransition =
    state.samples.keys
        .fold(RunnerTransition(state)) { transition, request ->
            transition.then { tendSample(policy, it, request, nowMilliseconds) }
        }.then { current ->
            current.groups.keys.fold(RunnerTransition(current)) { transition, name ->
                transition
                    .then { raceStraggler(it, name, nowMilliseconds) }
                    .then { submitDue(policy, it, name, nowMilliseconds) }
            }
        }

private fun tendSample(
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
        replaceTooOld(policy, state, request, nowMilliseconds)
    }
}

/**
 * Whether a sample is fresh enough now and is expected to be so when it ends. The expectation counts only where a new
 * sample, started on the newest weights, would do better.
 */
private fun canBeDelivered(
    state: RunnerState,
    group: AssignedGroup,
    sample: RunningSample,
    nowMilliseconds: Long,
): Boolean {
    val oldest = sample.sample?.spans?.minOf { it.weightVersion } ?: sample.oldestVersion ?: return true
    val assignment = group.assignment
    val elapsed = nowMilliseconds - sample.startedMilliseconds
    val remaining = if (sample.sample == null) {
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

/** Drops a sample that is too old or will be, and starts another in its place. */
internal fun replaceTooOld(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples.getValue(request)
    val group = state.groups.getValue(sample.group)
    val counted = group.copy(tooOld = group.tooOld + 1)
    val next = state.copy(
        samples = state.samples.remove(request),
        groups = state.groups.put(sample.group, counted),
    )
    val cancelled = if (sample.sample == null) listOf(RunnerEffect.Cancel(request)) else emptyList()
    val isHopeless = counted.tooOld > counted.assignment.group.samples * TOO_OLD_LIMIT_PER_SAMPLE
    val following = if (isHopeless) {
        endGroup(next, sample.group, GroupResult(failure = TOO_OLD, groupAtFault = true))
    } else {
        fillGroup(next, sample.group).then { submitDue(policy, it, sample.group, nowMilliseconds) }
    }
    return RunnerTransition(following.state, cancelled + following.effects)
}

private const val TOO_OLD = "its samples take longer than the staleness bound permits"

/** Starts an additional sample beside one that is much longer than expected; the first to end counts. */
private fun raceStraggler(
    state: RunnerState,
    name: GroupName,
    nowMilliseconds: Long,
): RunnerTransition {
    val group = state.groups[name]?.takeIf { it.started } ?: return RunnerTransition(state)
    val expected = group.assignment.expectedTokens
    val samples = state.samples.values.filter { it.group == name && it.sample == null }
    val hasStraggler = expected > 0 && samples.any {
        it.tokens > expected * SAMPLE_STRAGGLER_FACTOR && it.startedMilliseconds < nowMilliseconds
    }
    val mayAdd = group.additionalUsed < group.assignment.additionalSamples
    return if (hasStraggler && mayAdd) {
        val counted = group.copy(additionalUsed = group.additionalUsed + 1)
        RunnerTransition(addSample(state.copy(groups = state.groups.put(name, counted)), name))
    } else {
        RunnerTransition(state)
    }
}
