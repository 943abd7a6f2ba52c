/**
 * Decisions about the steps of trainers: which instance holds a step, where its groups are generated, and which batch
 * is delivered. A batch is delivered only after the commit that freezes it. That commit is conditional on the lease of
 * the step, so that two instances that both consider themselves the holder cannot deliver different batches.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Decision

/** Creates the decision function for steps under [policy]. */
public fun stepDecision(policy: StepPolicy): Decision<StepState, StepEvent, StepEffect> =
    { state, event, nowMilliseconds ->
        decideStep(policy, state, event, nowMilliseconds)
            .andThen { assignGroups(policy, it, nowMilliseconds) }
    }

private fun decideStep(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent,
    nowMilliseconds: Long,
): StepTransition =
    when (event) {
        is StepEvent.CallReceived -> {
            dispatchCall(policy, state, event.call, nowMilliseconds)
        }

        is StepEvent.SnapshotRead -> {
            dispatchRead(policy, state, event, nowMilliseconds)
        }

        is StepEvent.OpeningEnded -> {
            handleOpeningResult(policy, state, event, nowMilliseconds)
        }

        is StepEvent.WriteEnded -> {
            handleWriteResult(policy, state, event, nowMilliseconds)
        }

        is StepEvent.GroupEnded -> {
            handleGroupResult(policy, state, event, nowMilliseconds)
        }

        is StepEvent.ForwardEnded -> {
            StepTransition(state, listOf(StepEffect.Answer(event.callNumber, event.answer ?: retryLater)))
        }

        is StepEvent.InstancesChanged -> {
            StepTransition(changeInstances(policy, state, event))
        }

        is StepEvent.KeysChanged -> {
            releaseStepsWithoutKey(policy, state, event.keys)
        }

        is StepEvent.Drain -> {
            releaseAllSteps(policy, state)
        }

        is StepEvent.Tick -> {
            maintainSteps(policy, state, nowMilliseconds)
        }
    }

private fun dispatchCall(
    policy: StepPolicy,
    state: StepState,
    call: TrainerCall,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[call.key]
    return if (step == null) lookUp(state, call.key, call) else handleCall(policy, state, step, call, nowMilliseconds)
}

private fun dispatchRead(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.SnapshotRead,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[event.key]
    return if (step == null) {
        handleLookupResult(policy, state, event.key, event.snapshot, nowMilliseconds)
    } else {
        handleRead(policy, state, step, event, nowMilliseconds)
    }
}

private fun changeInstances(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.InstancesChanged,
): StepState {
    val usable = event.instances.filterKeys { !state.draining || it != policy.instance }
    return state.copy(
        instances = usable.toPersistentMap(),
        avoidedUntil = state.avoidedUntil.filterKeys { it in usable }.toPersistentMap(),
        latencies = state.latencies.filterKeys { it in usable }.toPersistentMap(),
    )
}
