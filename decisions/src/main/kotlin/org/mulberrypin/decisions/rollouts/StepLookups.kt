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
    call: TrainerAsk?,
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
    return StepTransition(next, if (existing == null) listOf(StepEffect.ReadView(key)) else emptyList())
}

/** Answers, starts, takes over or forwards a step, depending on the rows that were read. */
internal fun handleLookupResult(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    view: StepView?,
    nowMilliseconds: Long,
): StepTransition {
    val lookup = state.lookups[key]?.takeIf { it.opening == null } ?: return StepTransition(state)
    val record = view?.record?.record
    val newStep = lookup.calls.firstNotNullOfOrNull { it as? TrainerAsk.Open }?.request
    return when {
        view == null -> {
            answerLookup(state, key) { retryLater }
        }

        record == null && newStep == null -> {
            answerLookup(state.withoutWatch(key), key) { rejected(UNKNOWN_STEP) }
        }

        record == null && newStep != null -> {
            startOpening(state, key, newStepOpening(policy, state, view, newStep))
        }

        record != null && record.complete -> {
            answerLookup(state.withoutWatch(key), key) { record.answerWithoutBatch() }
        }

        mayTakeOver(policy, state, key, view, nowMilliseconds) -> {
            startOpening(state, key, takeoverOpening(policy, state, key, view))
        }

        else -> {
            forwardCalls(state, key, view, nowMilliseconds)
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
    opening: StepOpening,
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
    view: StepView,
    request: StepRequest,
): StepOpening {
    val key = StepKey(request.team, request.trainer, request.step)
    val heartbeat = policy.nextHeartbeat(state)
    val steps = view.trainer
        ?.record
        ?.steps
        .orEmpty() + request.step
    val trainer = TrainerRecord(steps.takeLast(RETAINED_STEP_LIMIT))
    val requestObject = "${key.objectPrefix}/request-${policy.instance}-${policy.incarnation}-${heartbeat.renewals}"
    return StepOpening(
        key = key,
        lease = Versioned(view.lease?.version ?: 0, policy.leaseFor(key, fencingNumber = 1)),
        record = Versioned(0, StepRecord(request.copy(groups = emptyList()), requestObject)),
        newStep = request,
        trainer = Versioned(view.trainer?.version ?: 0, trainer),
        forgotten = steps.dropLast(RETAINED_STEP_LIMIT).map { key.copy(step = it) },
        heartbeat = heartbeat,
    )
}

private fun takeoverOpening(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    view: StepView,
): StepOpening {
    val lease = view.lease ?: Versioned(0, LeaseRecord())
    return StepOpening(
        key = key,
        lease = Versioned(lease.version, policy.leaseFor(key, lease.record.fencingNumber + 1)),
        record = view.record ?: Versioned(0, StepRecord()),
        newStep = null,
        trainer = null,
        forgotten = emptyList(),
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
    view: StepView,
    nowMilliseconds: Long,
): Boolean {
    val lease = view.lease?.record
    val watch = state.watches[key]
    return when {
        lease == null || lease.released || lease.holder == policy.instance -> true

        view.heartbeat?.record?.holderIncarnation != lease.holderIncarnation -> true

        watch == null -> false

        else -> view.watchFrom(watch.sinceMilliseconds) == watch &&
            nowMilliseconds - watch.sinceMilliseconds >= policy.leaseMilliseconds
    }
}

private fun StepView.watchFrom(sinceMilliseconds: Long) =
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
    view: StepView,
    nowMilliseconds: Long,
): StepTransition {
    val calls = state.lookups[key]
        ?.calls
        .orEmpty()
        .toPersistentList()
    val existing = state.watches[key]
    val isSame = existing != null && view.watchFrom(existing.sinceMilliseconds) == existing
    val watches = when {
        isSame -> state.watches
        calls.isEmpty() -> state.watches.remove(key)
        existing == null && state.watches.size >= LOOKUP_LIMIT -> state.watches
        else -> state.watches.put(key, view.watchFrom(nowMilliseconds))
    }
    val holder = view.lease
        ?.record
        ?.holder
        .orEmpty()
    val effects = calls.map { call ->
        when {
            call is TrainerAsk.NextBatch && !call.passedOn -> StepEffect.PassOn(call.ask, holder, call.request)
            else -> answerTo(call, retryLater)
        }
    }
    return StepTransition(state.copy(lookups = state.lookups.remove(key), watches = watches), effects)
}
