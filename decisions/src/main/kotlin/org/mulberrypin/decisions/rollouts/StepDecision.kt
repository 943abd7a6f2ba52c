/**
 * The decisions about the steps of trainers: who holds a step, which groups are generated where, and which batch a
 * trainer gets. A batch is handed out only after the commit that fixed it, and that commit is conditional on the lease
 * of the step; so two instances that both believe they hold a step cannot hand out different batches.
 */
package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Decision

/** Creates the decision about steps under [policy]. */
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
        is StepEvent.Asked -> {
            decideAsk(policy, state, event.ask, nowMilliseconds)
        }

        is StepEvent.ViewRead -> {
            decideView(policy, state, event, nowMilliseconds)
        }

        is StepEvent.OpeningEnded -> {
            endOpening(policy, state, event, nowMilliseconds)
        }

        is StepEvent.WriteEnded -> {
            endWrite(policy, state, event, nowMilliseconds)
        }

        is StepEvent.GroupEnded -> {
            endGroup(policy, state, event, nowMilliseconds)
        }

        is StepEvent.PassOnEnded -> {
            StepTransition(state, listOf(StepEffect.Answer(event.ask, event.answer ?: askAgain)))
        }

        is StepEvent.InstancesChanged -> {
            StepTransition(changeInstances(policy, state, event))
        }

        is StepEvent.KeysChanged -> {
            withdrawKeys(policy, state, event.keys)
        }

        is StepEvent.Drain -> {
            drain(policy, state)
        }

        is StepEvent.Tick -> {
            upkeep(policy, state, nowMilliseconds)
        }
    }

private fun decideAsk(
    policy: StepPolicy,
    state: StepState,
    ask: TrainerAsk,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[ask.key]
    return if (step == null) lookUp(state, ask.key, ask) else takeAsk(policy, state, step, ask, nowMilliseconds)
}

private fun decideView(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.ViewRead,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[event.key]
    return if (step == null) {
        endLookup(policy, state, event.key, event.view, nowMilliseconds)
    } else {
        checkHeldStep(policy, state, step, event, nowMilliseconds)
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
        paces = state.paces.filterKeys { it in usable }.toPersistentMap(),
    )
}
