/**
 * Steps that this instance does not hold: it reads their rows and then starts the step, takes it over, or passes the
 * call on to the holder.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.toPersistentList
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.LeaseRecord
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.TrainerRecord

/** Steps of one trainer that are remembered; an older one is forgotten, complete or not, when a new one starts. */
public const val REMEMBERED_STEP_LIMIT: Int = 64

/** Adds a call to the lookup of its step and starts the lookup where there is none. */
internal fun lookUp(
    state: StepState,
    key: StepKey,
    ask: TrainerAsk?,
): StepTransition {
    val known = state.lookups[key]
    val isFull = if (known == null) state.lookups.size >= LOOKUP_LIMIT else known.asks.size >= STEP_ASK_LIMIT
    if (isFull) {
        return StepTransition(state, listOfNotNull(ask).map { answerTo(it, askAgain) })
    }
    val lookup = known ?: StepLookup()
    val asks = if (ask == null) lookup.asks else lookup.asks.add(ask)
    val next = state.copy(lookups = state.lookups.put(key, lookup.copy(asks = asks)))
    return StepTransition(next, if (known == null) listOf(StepEffect.ReadView(key)) else emptyList())
}

/** Decides what to do with a step whose rows were read. */
internal fun endLookup(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    view: StepView?,
    nowMilliseconds: Long,
): StepTransition {
    val lookup = state.lookups[key]?.takeIf { it.opening == null } ?: return StepTransition(state)
    val record = view?.record?.record
    val newStep = lookup.asks.firstNotNullOfOrNull { it as? TrainerAsk.Open }?.request
    return when {
        view == null -> {
            answerLookup(state, key) { askAgain }
        }

        record == null && newStep == null -> {
            answerLookup(state.withoutWatch(key), key) { refused(UNKNOWN_STEP) }
        }

        record == null && newStep != null -> {
            open(state, key, createStep(policy, state, view, newStep))
        }

        record != null && record.complete -> {
            answerLookup(state.withoutWatch(key), key) { record.answerWithoutBatch() }
        }

        isHolderGone(policy, state, key, view, nowMilliseconds) -> {
            open(state, key, takeStepOver(policy, state, key, view))
        }

        else -> {
            passOn(state, key, view, nowMilliseconds)
        }
    }
}

private const val UNKNOWN_STEP = "The step is unknown; start it before asking for its batches."

internal fun StepState.withoutWatch(key: StepKey): StepState = copy(watches = watches.remove(key))

/** Ends the lookup of a step with the same answer for all of its calls. */
internal fun answerLookup(
    state: StepState,
    key: StepKey,
    answer: () -> BatchAnswer,
): StepTransition {
    val asks = state.lookups[key]?.asks.orEmpty()
    return StepTransition(state.copy(lookups = state.lookups.remove(key)), asks.map { answerTo(it, answer()) })
}

private fun open(
    state: StepState,
    key: StepKey,
    opening: StepOpening,
): StepTransition {
    val openings = state.lookups.values.count { it.opening != null }
    val lookup = state.lookups[key]
    return if (lookup == null || state.draining || state.held.size + openings >= HELD_STEP_LIMIT) {
        answerLookup(state, key) { askAgain }
    } else {
        val next = state.copy(
            lookups = state.lookups.put(key, lookup.copy(opening = opening)),
            renewals = opening.heartbeat.renewals,
        )
        StepTransition(next, listOf(StepEffect.Open(opening)))
    }
}

private fun createStep(
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
    val trainer = TrainerRecord(steps.takeLast(REMEMBERED_STEP_LIMIT))
    val requestObject = "${key.objectPrefix}/request-${policy.instance}-${policy.incarnation}-${heartbeat.renewals}"
    return StepOpening(
        key = key,
        lease = Versioned(view.lease?.version ?: 0, policy.leaseOn(key, fencingNumber = 1)),
        record = Versioned(0, StepRecord(request.copy(groups = emptyList()), requestObject)),
        newStep = request,
        trainer = Versioned(view.trainer?.version ?: 0, trainer),
        forgotten = steps.dropLast(REMEMBERED_STEP_LIMIT).map { key.copy(step = it) },
        heartbeat = heartbeat,
    )
}

private fun takeStepOver(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    view: StepView,
): StepOpening {
    val lease = view.lease ?: Versioned(0, LeaseRecord())
    return StepOpening(
        key = key,
        lease = Versioned(lease.version, policy.leaseOn(key, lease.record.fencingNumber + 1)),
        record = view.record ?: Versioned(0, StepRecord()),
        newStep = null,
        trainer = null,
        forgotten = emptyList(),
        heartbeat = policy.nextHeartbeat(state),
    )
}

private fun StepPolicy.leaseOn(
    key: StepKey,
    fencingNumber: Long,
) = LeaseRecord(
    name = "step/${key.owner}/${key.step}",
    holder = instance,
    holderIncarnation = incarnation,
    fencingNumber = fencingNumber,
    durationMilliseconds = leaseMilliseconds,
)

/** The next heartbeat of this instance; each differs from the one before. */
internal fun StepPolicy.nextHeartbeat(state: StepState): LeaseRecord =
    LeaseRecord(
        name = "rollouts/$instance",
        holder = instance,
        holderIncarnation = incarnation,
        durationMilliseconds = leaseMilliseconds,
        renewals = state.renewals + 1,
    )

private fun isHolderGone(
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

/** Passes calls on to the holder, and watches its heartbeat for as long as trainers ask here. */
private fun passOn(
    state: StepState,
    key: StepKey,
    view: StepView,
    nowMilliseconds: Long,
): StepTransition {
    val asks = state.lookups[key]
        ?.asks
        .orEmpty()
        .toPersistentList()
    val known = state.watches[key]
    val isSame = known != null && view.watchFrom(known.sinceMilliseconds) == known
    val watches = when {
        isSame -> state.watches
        asks.isEmpty() -> state.watches.remove(key)
        known == null && state.watches.size >= LOOKUP_LIMIT -> state.watches
        else -> state.watches.put(key, view.watchFrom(nowMilliseconds))
    }
    val holder = view.lease
        ?.record
        ?.holder
        .orEmpty()
    val effects = asks.map { ask ->
        when {
            ask is TrainerAsk.NextBatch && !ask.passedOn -> StepEffect.PassOn(ask.ask, holder, ask.request)
            else -> answerTo(ask, askAgain)
        }
    }
    return StepTransition(state.copy(lookups = state.lookups.remove(key), watches = watches), effects)
}
