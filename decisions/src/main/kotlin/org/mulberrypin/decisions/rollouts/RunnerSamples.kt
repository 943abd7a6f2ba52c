/** Starts, submits, postpones and replaces the samples of assigned groups. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.RoutePriority

/** Starts waiting groups in the order of the policy while the samples in flight are below the limit. */
internal fun startGroups(
    policy: RunnerPolicy,
    state: RunnerState,
    nowMilliseconds: Long,
): RunnerTransition {
    var current = RunnerTransition(state)
    while (current.state.samples.size < policy.sampleInFlightLimit) {
        val name = chooseWaitingGroup(policy, current.state) ?: break
        current = current
            .then { it.copy(groups = it.groups.put(name, it.groups.getValue(name).copy(started = true))).asResult() }
            .then { addMissingSamples(it, name) }
            .then { submitDueSamples(policy, it, name, nowMilliseconds) }
    }
    return current
}

private fun RunnerState.asResult() = RunnerTransition(this)

private fun chooseWaitingGroup(
    policy: RunnerPolicy,
    state: RunnerState,
): GroupAttemptKey? {
    val waiting = state.groups.entries.filter { !it.value.started }
    if (waiting.isEmpty()) {
        return null
    }
    val inFlight = state.samples.values
        .groupingBy { it.group.key.owner }
        .eachCount()
    val candidates = waiting.map { (_, group) ->
        GroupCandidate(group.owner, group.assignment.expectedTokens, group.sequence)
    }
    return waiting[policy.groupSelector(candidates, inFlight)].key
}

/** Adds samples until the finished ones and those in flight make up the size of the group. */
internal fun addMissingSamples(
    state: RunnerState,
    name: GroupAttemptKey,
): RunnerTransition {
    val group = state.groups[name]?.takeIf { it.started } ?: return RunnerTransition(state)
    val presentCount = group.finishedSamples.size + state.samples.values.count { it.group == name }
    val missingCount = (group.assignment.group.samples - presentCount).coerceAtLeast(0)
    return RunnerTransition((1..missingCount).fold(state) { current, _ -> addSample(current, name) })
}

/** Adds a sample that is due for submission immediately. */
internal fun addSample(
    state: RunnerState,
    name: GroupAttemptKey,
): RunnerState {
    val group = state.groups.getValue(name)
    val sample = RunningSample(name, group.nextSample, startedMilliseconds = 0, submitAtMilliseconds = Long.MIN_VALUE)
    return state.copy(
        groups = state.groups.put(name, group.copy(nextSample = group.nextSample + 1)),
        samples = state.samples.put(state.nextRequest, sample),
        nextRequest = state.nextRequest + 1,
    )
}

/** Submits the samples of a group that are due at [nowMilliseconds]. */
internal fun submitDueSamples(
    policy: RunnerPolicy,
    state: RunnerState,
    name: GroupAttemptKey,
    nowMilliseconds: Long,
): RunnerTransition {
    val group = state.groups[name] ?: return RunnerTransition(state)
    val due = state.samples.filterValues {
        it.group == name && it.submitAtMilliseconds != null && it.submitAtMilliseconds <= nowMilliseconds
    }
    val started = due.mapValues { it.value.copy(startedMilliseconds = nowMilliseconds, submitAtMilliseconds = null) }
    val effects = started.map { (request, sample) -> submission(policy, group, request, sample, nowMilliseconds) }
    return RunnerTransition(state.copy(samples = state.samples.putAll(started)), effects)
}

private fun submission(
    policy: RunnerPolicy,
    group: AssignedGroup,
    request: Long,
    sample: RunningSample,
    nowMilliseconds: Long,
): RunnerEffect.Submit {
    val assignment = group.assignment
    val limit = assignment.deadlineMilliseconds.takeIf { it > 0 } ?: policy.longestRequestMilliseconds
    val digest = promptDigest(assignment.group.prompt)
    val seed = promptDigest(sampleName(sample)) xor policy.seed
    val arrival = RequestArrival(
        request = request,
        requestId = sampleName(sample),
        route = assignment.model,
        team = assignment.team,
        keyName = assignment.keyName,
        priority = RoutePriority.ROLLOUT,
        contentDigest = "rollout-${digest.toULong().toString(HEXADECIMAL_RADIX)}",
        promptPrefixDigest = digest,
        repeatable = true,
        expectedTokens = assignment.expectedTokens.takeIf { it > 0 } ?: assignment.maxTokens.toLong(),
        minimumWeightVersion = assignment.minimumWeightVersion,
        deadlineMilliseconds = nowMilliseconds + limit,
        seed = seed,
    )
    val content = CompletionRequest(
        model = assignment.model,
        prompt = assignment.group.prompt,
        maxTokens = assignment.maxTokens.takeIf { it > 0 },
        seed = seed,
        stream = true,
    )
    return RunnerEffect.Submit(arrival, content)
}

private const val HEXADECIMAL_RADIX = 16

/** Returns a unique name for a sample; the fencing number distinguishes samples from different holders of a step. */
internal fun sampleName(sample: RunningSample): String =
    with(sample.group) {
        "${key.team}/${key.trainer}/${key.step}/$group/$fencingNumber-$attempt-${sample.number}"
    }

/** Schedules a sample that has not run for another submission after [waitMilliseconds]. */
internal fun postponeSample(
    state: RunnerState,
    request: Long,
    waitMilliseconds: Long,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples[request] ?: return RunnerTransition(state)
    val postponed = sample.copy(submitAtMilliseconds = nowMilliseconds + waitMilliseconds.coerceAtLeast(1))
    return RunnerTransition(state.copy(samples = state.samples.put(request, postponed)))
}

/** Replaces a failed sample by a new one, or fails the attempt when its samples have failed too often. */
internal fun failSample(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    reason: String,
    nowMilliseconds: Long,
): RunnerTransition {
    val name = state.samples[request]?.group ?: return RunnerTransition(state)
    val group = state.groups[name] ?: return RunnerTransition(state)
    val next = state.copy(
        samples = state.samples.remove(request),
        groups = state.groups.put(name, group.copy(failedSamples = group.failedSamples + 1)),
    )
    return if (group.failedSamples + 1 >= policy.sampleFailureLimit) {
        finishGroup(next, name, GroupResult(failure = reason))
    } else {
        RunnerTransition(next)
            .then { addMissingSamples(it, name) }
            .then { submitDueSamples(policy, it, name, nowMilliseconds) }
    }
}
