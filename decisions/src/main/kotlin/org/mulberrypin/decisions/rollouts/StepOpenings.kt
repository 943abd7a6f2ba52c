/** Handles the outcome of a commit that makes this instance the holder of a step. */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.schema.generated.StepRecord
import kotlin.math.ceil

internal fun handleOpeningResult(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.OpeningEnded,
    nowMilliseconds: Long,
): StepTransition {
    val lookup = state.lookups[event.key]
    val opening = lookup?.opening
    val objects = event.objects
    return when {
        lookup == null || opening == null -> {
            StepTransition(state)
        }

        event.result == StoreResult.COMMITTED && objects != null -> {
            val next = state
                .copy(lookups = state.lookups.remove(event.key))
                .withoutWatch(event.key)
                .put(startHolding(policy, opening, objects, lookup, nowMilliseconds))
            answerOpenedStep(policy, next, opening, lookup, nowMilliseconds)
        }

        event.result == StoreResult.CONFLICT -> {
            val retried = lookup.copy(opening = null)
            val next = state.copy(lookups = state.lookups.put(event.key, retried))
            StepTransition(next, listOf(StepEffect.ReadSnapshot(event.key)))
        }

        else -> {
            answerLookup(state, event.key) { retryLater }
        }
    }
}

private fun answerOpenedStep(
    policy: StepPolicy,
    state: StepState,
    opening: StepOpenCommit,
    lookup: StepLookup,
    nowMilliseconds: Long,
): StepTransition {
    val action = if (opening.newRequest == null) "taken over" else "started"
    val reason = "The step was $action with fencing number ${opening.lease.record.fencingNumber}."
    val accepted = lookup.calls.filterIsInstance<TrainerCall.Open>().map { answerTo(it, retryLater) }
    val explained = StepEffect.Explain(opening.key, group = "", peer = policy.instance, reason = reason)
    return StepTransition(state, accepted + explained)
        .andThen { handleWaitingCalls(policy, it, opening.key, nowMilliseconds) }
}

private fun startHolding(
    policy: StepPolicy,
    opening: StepOpenCommit,
    objects: StepObjects,
    lookup: StepLookup,
    nowMilliseconds: Long,
): HeldStep {
    val record = opening.record.record
    val request = objects.request
    val samples = request.groups.sumOf { it.samples }
    return HeldStep(
        key = opening.key,
        request = request,
        promptDigests = request.groups.map { promptDigest(it.prompt) },
        lease = StepLease(opening.lease.version + 1, opening.lease.record.fencingNumber),
        record = Versioned(if (opening.newRequest == null) opening.record.version else 1, record),
        versionProgress = VersionProgress(request.trainerVersion, nowMilliseconds),
        keyName = lookup.calls.map { it.keyName }.lastOrNull { it.isNotEmpty() } ?: request.keyName,
        waiting = waitingGroups(request.groups.size, record),
        abandoned = record.abandoned.associate { it.group to it.reason }.toPersistentMap(),
        frozenBatch = objects.frozenBatch,
        calls = lookup.calls.filterIsInstance<TrainerCall.NextBatch>().toPersistentList(),
        additionalSamplesLeft = ceil(samples * policy.overSamplingRatio).toInt(),
        lastCallMilliseconds = nowMilliseconds,
    )
}

private fun waitingGroups(
    groups: Int,
    record: StepRecord,
) = (0 until groups)
    .minus(record.delivered.toSet())
    .minus(record.abandoned.map { it.group }.toSet())
    .minus(
        record.frozen
            ?.groups
            .orEmpty()
            .toSet(),
    ).associateWith { WaitingGroup() }
    .toPersistentMap()
