/**
 * Handles calls for steps that this instance does not hold: reads the rows of the step and then starts it, takes it
 * over or forwards the calls to its holder.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.toPersistentList
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TrainerRecord

/** Number of steps per trainer whose rows are kept; starting a step deletes older ones, whether complete or not. */
public const val RETAINED_STEP_LIMIT: Int = 64

/** Adds a call to the lookup of its step, and starts the lookup if there is none. */
internal fun lookUp(
    state: StepState,
    key: StepKey,
    call: TrainerCall?,
): StepTransition {
    val existing = state.lookups[key]
    val isFull =
        if (existing == null) state.lookups.size >= LOOKUP_LIMIT else existing.calls.size >= STEP_CALL_LIMIT
    if (isFull) {
        return StepTransition(state, listOfNotNull(call).map { answerTo(it, retryLater) })
    }
    val lookup = existing ?: StepLookup()
    val calls = if (call == null) lookup.calls else lookup.calls.add(call)
    val next = state.copy(lookups = state.lookups.put(key, lookup.copy(calls = calls)))
    return StepTransition(next, if (existing == null) listOf(StepEffect.ReadSnapshot(key)) else emptyList())
}

/** Answers, starts, takes over or forwards a step, depending on the rows that were read. */
internal fun handleLookupResult(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    snapshot: StepSnapshot?,
    nowMilliseconds: Long,
): StepTransition {
    val lookup = state.lookups[key]?.takeIf { it.opening == null } ?: return StepTransition(state)
    val record = snapshot?.record?.record
    val newRequest = lookup.calls.firstNotNullOfOrNull { it as? TrainerCall.Open }?.request
    return when {
        snapshot == null -> {
            answerLookup(state, key) { retryLater }
        }

        record == null && newRequest == null -> {
            answerLookup(state.withoutWatch(key), key) { rejected(UNKNOWN_STEP) }
        }

        record == null && newRequest != null -> {
            startOpening(state, key, newStepOpening(policy, state, snapshot, newRequest))
        }

        record != null && record.complete -> {
            answerLookup(state.withoutWatch(key), key) { record.answerWithoutBatch() }
        }

        mayTakeOver(policy, state, key, snapshot, nowMilliseconds) -> {
            startOpening(state, key, takeoverOpening(policy, state, key, snapshot))
        }

        else -> {
            forwardCalls(state, key, snapshot, nowMilliseconds)
        }
    }
}

private const val UNKNOWN_STEP = "The step is unknown; start it before requesting its batches."

internal fun StepState.withoutWatch(key: StepKey): StepState = copy(watches = watches.remove(key))

/** Ends the lookup of a step and sends the same answer to all of its calls. */
internal fun answerLookup(
    state: StepState,
    key: StepKey,
    answer: () -> BatchAnswer,
): StepTransition {
    val calls = state.lookups[key]?.calls.orEmpty()
    return StepTransition(state.copy(lookups = state.lookups.remove(key)), calls.map { answerTo(it, answer()) })
}

private fun startOpening(
    state: StepState,
    key: StepKey,
    opening: StepOpenCommit,
): StepTransition {
    val openings = state.lookups.values.count { it.opening != null }
    val lookup = state.lookups[key]
    return if (lookup == null || state.draining || state.heldSteps.size + openings >= HELD_STEP_LIMIT) {
        answerLookup(state, key) { retryLater }
    } else {
        val next = state.copy(
            lookups = state.lookups.put(key, lookup.copy(opening = opening)),
            renewals = opening.heartbeat.renewals,
        )
        StepTransition(next, listOf(StepEffect.Open(opening)))
    }
}

private fun newStepOpening(
    policy: StepPolicy,
    state: StepState,
    snapshot: StepSnapshot,
    request: StepRequest,
): StepOpenCommit {
    val key = StepKey(request.team, request.trainer, request.step)
    val heartbeat = policy.nextHeartbeat(state)
    val steps = snapshot.trainer
        ?.record
        ?.steps
        .orEmpty() + request.step
    val trainer = TrainerRecord(steps.takeLast(RETAINED_STEP_LIMIT))
    val requestObject = "${key.objectPrefix}/request-${policy.instance}-${policy.incarnation}-${heartbeat.renewals}"
    return StepOpenCommit(
        key = key,
        lease = Versioned(snapshot.lease?.version ?: 0, policy.leaseFor(key, fencingNumber = 1)),
        record = Versioned(0, StepRecord(request.copy(groups = emptyList()), requestObject)),
        newRequest = request,
        trainer = Versioned(snapshot.trainer?.version ?: 0, trainer),
        deletedSteps = steps.dropLast(RETAINED_STEP_LIMIT).map { key.copy(step = it) },
        heartbeat = heartbeat,
    )
}

private fun takeoverOpening(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    snapshot: StepSnapshot,
): StepOpenCommit {
    val lease = snapshot.lease ?: Versioned(0, LeaseRecord())
    return StepOpenCommit(
        key = key,
        lease = Versioned(lease.version, policy.leaseFor(key, lease.record.fencingNumber + 1)),
        record = snapshot.record ?: Versioned(0, StepRecord()),
        newRequest = null,
        trainer = null,
        deletedSteps = emptyList(),
        heartbeat = policy.nextHeartbeat(state),
    )
}

private fun StepPolicy.leaseFor(
    key: StepKey,
    fencingNumber: Long,
) = LeaseRecord(
    name = "step/${key.owner}/${key.step}",
    holder = instance,
    holderIncarnation = incarnation,
    fencingNumber = fencingNumber,
    durationMilliseconds = leaseMilliseconds,
)

/** Builds the next heartbeat of this instance; the renewal count makes it differ from the previous one. */
internal fun StepPolicy.nextHeartbeat(state: StepState): LeaseRecord =
    LeaseRecord(
        name = "rollouts/$instance",
        holder = instance,
        holderIncarnation = incarnation,
        durationMilliseconds = leaseMilliseconds,
        renewals = state.renewals + 1,
    )

private fun mayTakeOver(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    snapshot: StepSnapshot,
    nowMilliseconds: Long,
): Boolean {
    val lease = snapshot.lease?.record
    val watch = state.watches[key]
    return when {
        lease == null || lease.released || lease.holder == policy.instance -> true

        snapshot.heartbeat?.record?.holderIncarnation != lease.holderIncarnation -> true

        watch == null -> false

        else -> snapshot.watchFrom(watch.sinceMilliseconds) == watch &&
            nowMilliseconds - watch.sinceMilliseconds >= policy.leaseMilliseconds
    }
}

private fun StepSnapshot.watchFrom(sinceMilliseconds: Long) =
    HolderWatch(
        holder = lease?.record?.holder.orEmpty(),
        incarnation = lease?.record?.holderIncarnation ?: 0,
        heartbeatVersion = heartbeat?.version ?: 0,
        sinceMilliseconds = sinceMilliseconds,
    )

/** Forwards calls to the holder, and observes its heartbeat while this instance receives calls for the step. */
private fun forwardCalls(
    state: StepState,
    key: StepKey,
    snapshot: StepSnapshot,
    nowMilliseconds: Long,
): StepTransition {
    val calls = state.lookups[key]
        ?.calls
        .orEmpty()
        .toPersistentList()
    val existing = state.watches[key]
    val isSame = existing != null && snapshot.watchFrom(existing.sinceMilliseconds) == existing
    val watches = when {
        isSame -> state.watches
        calls.isEmpty() -> state.watches.remove(key)
        existing == null && state.watches.size >= LOOKUP_LIMIT -> state.watches
        else -> state.watches.put(key, snapshot.watchFrom(nowMilliseconds))
    }
    val holder = snapshot.lease
        ?.record
        ?.holder
        .orEmpty()
    val effects = calls.map { call ->
        when {
            call is TrainerCall.NextBatch && !call.isForwarded -> StepEffect.ForwardCall(
                call.callNumber,
                holder,
                call.request,
            )

            else -> answerTo(call, retryLater)
        }
    }
    return StepTransition(state.copy(lookups = state.lookups.remove(key), watches = watches), effects)
}
