/** Handles replies to the requests of samples, and the scores of completed samples. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.SampleGroup

internal fun handleReply(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    reply: RequestReply,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples[request] ?: return RunnerTransition(state)
    return when (reply) {
        is RequestReply.Chunk -> RunnerTransition(addPart(state, request, sample, reply))
        is RequestReply.Finished -> finishSample(policy, state, request, reply, nowMilliseconds)
        is RequestReply.NotRun -> handleRefusal(state, request, reply, nowMilliseconds)
        is RequestReply.MayHaveRun -> failSample(policy, state, request, reply.reason, nowMilliseconds)
    }
}

private fun addPart(
    state: RunnerState,
    request: Long,
    sample: RunningSample,
    part: RequestReply.Chunk,
): RunnerState {
    val oldest = if (part.tokens == 0) sample.oldestVersion else olderVersion(sample.oldestVersion, part.weightVersion)
    val next = sample.copy(
        parts = if (part.text.isEmpty()) sample.parts else sample.parts.add(part.text),
        tokens = sample.tokens + part.tokens,
        oldestVersion = oldest,
    )
    return state.copy(
        samples = state.samples.put(request, next),
        newestVersion = maxOf(state.newestVersion, part.weightVersion),
    )
}

private fun olderVersion(
    oldestVersion: Long?,
    version: Long,
): Long = if (oldestVersion == null) version else kotlin.math.min(oldestVersion, version)

/**
 * Handles the end of a reply. Its spans are the ones that the engines reported. If the token counts of the received
 * parts do not add up to them, a part was lost and the sample is generated again.
 */
private fun finishSample(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    reply: RequestReply.Finished,
    nowMilliseconds: Long,
): RunnerTransition {
    val running = state.samples.getValue(request)
    val group = state.groups.getValue(running.group)
    val tokens = reply.spans.sumOf { it.tokens }
    val minimum = group.assignment.minimumWeightVersion
    val isStale = reply.spans.any { it.weightVersion < minimum }
    return when {
        reply.spans.isEmpty() || tokens != running.tokens -> {
            failSample(policy, state, request, "The parts of a reply do not add up to its spans.", nowMilliseconds)
        }

        isStale -> {
            replaceStaleSample(policy, state, request, nowMilliseconds)
        }

        else -> {
            val text = running.parts.joinToString(separator = "")
            val sample = Sample(
                sample = sampleName(running),
                group = running.group.group,
                text = text,
                spans = reply.spans,
                tokens = tokens,
                backendServer = reply.backendServer,
            )
            val waiting = running.copy(unscoredSample = sample)
            val next = state.copy(samples = state.samples.put(request, waiting))
            RunnerTransition(next, listOf(RunnerEffect.Score(request, group.assignment.group, text)))
        }
    }
}

private fun handleRefusal(
    state: RunnerState,
    request: Long,
    reply: RequestReply.NotRun,
    nowMilliseconds: Long,
): RunnerTransition {
    val failure = GroupResult(failure = "The request of a sample was refused at ${reply.step}: ${reply.refusal}.")
    val name = state.samples.getValue(request).group
    return when (reply.refusal) {
        Refusal.ISOLATED -> finishGroup(state, name, failure.copy(groupAtFault = true))
        Refusal.KEY_WITHDRAWN, Refusal.UNKNOWN_ROUTE, Refusal.LEAVING -> finishGroup(state, name, failure)
        else -> postponeSample(state, request, reply.retryAfterMilliseconds, nowMilliseconds)
    }
}

internal fun handleScore(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    score: Double?,
    nowMilliseconds: Long,
): RunnerTransition {
    val running = state.samples[request]
    val sample = running?.unscoredSample
    val group = running?.let { state.groups[it.group] }
    val isStale = sample != null && group != null &&
        sample.spans.any { it.weightVersion < group.assignment.minimumWeightVersion }
    return when {
        running == null || sample == null || group == null -> {
            RunnerTransition(state)
        }

        score == null -> {
            failSample(policy, state, request, "The scoring of a sample failed.", nowMilliseconds)
        }

        isStale -> {
            replaceStaleSample(policy, state, request, nowMilliseconds)
        }

        else -> {
            val finishedSamples = group.finishedSamples.add(sample.copy(score = score))
            val next = state.copy(
                samples = state.samples.remove(request),
                groups = state.groups.put(running.group, group.copy(finishedSamples = finishedSamples)),
            )
            if (finishedSamples.size < group.assignment.group.samples) {
                RunnerTransition(next)
            } else {
                val completeGroup = SampleGroup(group.assignment.group.group, finishedSamples)
                finishGroup(next, running.group, GroupResult(group = completeGroup))
            }
        }
    }
}
