/** What follows when the request of a sample gets a reply, or its score comes. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.SampleGroup

internal fun takeReply(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    reply: RequestReply,
    nowMilliseconds: Long,
): RunnerTransition {
    val sample = state.samples[request] ?: return RunnerTransition(state)
    return when (reply) {
        is RequestReply.Part -> RunnerTransition(takePart(state, request, sample, reply))
        is RequestReply.Finished -> finishSample(policy, state, request, reply, nowMilliseconds)
        is RequestReply.NotRun -> takeRefusal(state, request, reply, nowMilliseconds)
        is RequestReply.MayHaveRun -> failSample(policy, state, request, reply.reason, nowMilliseconds)
    }
}

private fun takePart(
    state: RunnerState,
    request: Long,
    sample: RunningSample,
    part: RequestReply.Part,
): RunnerState {
    val oldest = if (part.tokens == 0) sample.oldestVersion else minOf(sample.oldestVersion, part.weightVersion)
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

private fun minOf(
    known: Long?,
    version: Long,
): Long = if (known == null) version else kotlin.math.min(known, version)

/**
 * Takes a whole answer. Its spans are what the engines named; an answer whose parts do not add up to them has lost a
 * part and is generated again.
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
    val isTooOld = reply.spans.any { it.weightVersion < minimum }
    return when {
        reply.spans.isEmpty() || tokens != running.tokens -> {
            failSample(policy, state, request, "The parts of an answer do not add up.", nowMilliseconds)
        }

        isTooOld -> {
            replaceTooOld(policy, state, request, nowMilliseconds)
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
            val waiting = running.copy(sample = sample)
            val next = state.copy(samples = state.samples.put(request, waiting))
            RunnerTransition(next, listOf(RunnerEffect.Score(request, group.assignment.group, text)))
        }
    }
}

private fun takeRefusal(
    state: RunnerState,
    request: Long,
    reply: RequestReply.NotRun,
    nowMilliseconds: Long,
): RunnerTransition {
    val failure = GroupResult(failure = "Refused at ${reply.step}: ${reply.refusal}.")
    val name = state.samples.getValue(request).group
    return when (reply.refusal) {
        Refusal.ISOLATED -> endGroup(state, name, failure.copy(groupAtFault = true))
        Refusal.KEY_WITHDRAWN, Refusal.UNKNOWN_ROUTE, Refusal.LEAVING -> endGroup(state, name, failure)
        else -> postponeSample(state, request, reply.retryAfterMilliseconds, nowMilliseconds)
    }
}

internal fun takeScore(
    policy: RunnerPolicy,
    state: RunnerState,
    request: Long,
    score: Double?,
    nowMilliseconds: Long,
): RunnerTransition {
    val running = state.samples[request]
    val sample = running?.sample
    val group = running?.let { state.groups[it.group] }
    val isTooOld = sample != null && group != null &&
        sample.spans.any { it.weightVersion < group.assignment.minimumWeightVersion }
    return when {
        running == null || sample == null || group == null -> {
            RunnerTransition(state)
        }

        score == null -> {
            failSample(policy, state, request, "The scoring failed.", nowMilliseconds)
        }

        isTooOld -> {
            replaceTooOld(policy, state, request, nowMilliseconds)
        }

        else -> {
            val finished = group.finished.add(sample.copy(score = score))
            val next = state.copy(
                samples = state.samples.remove(request),
                groups = state.groups.put(running.group, group.copy(finished = finished)),
            )
            if (finished.size < group.assignment.group.samples) {
                RunnerTransition(next)
            } else {
                val whole = SampleGroup(group.assignment.group.group, finished)
                endGroup(next, running.group, GroupResult(group = whole))
            }
        }
    }
}
