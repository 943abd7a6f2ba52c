/** Calls of a trainer for a step that this instance holds; a step takes one call at a time. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BatchAnswer

internal typealias StepTransition = Transition<StepState, StepEffect>

/** Continues with [next] from the state reached and appends its effects. */
internal inline fun StepTransition.andThen(next: (StepState) -> StepTransition): StepTransition {
    val following = next(state)
    return StepTransition(following.state, effects + following.effects)
}

internal fun StepState.put(step: HeldStep): StepState = copy(held = held.put(step.key, step))

/** Takes a call for a held step at once, queues it, or has the trainer ask again. */
internal fun takeAsk(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    ask: TrainerAsk,
    nowMilliseconds: Long,
): StepTransition {
    val work = step.work
    val isStoreFailing = work is StepWork.Writing && work.retryAtMilliseconds != null
    return when {
        ask !is TrainerAsk.NextBatch -> StepTransition(state, listOf(answerTo(ask, askAgain)))
        work == StepWork.None -> answerAsk(policy, state, step, ask, nowMilliseconds)
        isStoreFailing || step.asks.size >= STEP_ASK_LIMIT -> StepTransition(state, listOf(answerTo(ask, askAgain)))
        else -> StepTransition(state.put(step.copy(asks = step.asks.add(ask))))
    }
}

/** Takes the calls that waited, as long as the step has no work under way. */
internal fun continueAsks(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[key] ?: return StepTransition(state)
    val ask = step.asks.firstOrNull()
    return if (ask == null || step.work != StepWork.None) {
        StepTransition(state)
    } else {
        answerAsk(policy, state, step.copy(asks = step.asks.removeAt(0)), ask, nowMilliseconds)
            .andThen { continueAsks(policy, it, key, nowMilliseconds) }
    }
}

private fun answerAsk(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    ask: TrainerAsk.NextBatch,
    nowMilliseconds: Long,
): StepTransition {
    val refusal = step.record.record.refusalOf(ask.request.acknowledged)
    if (refusal != null) {
        val verifying = verify(step, ask, refused(refusal).copy(voided = step.record.record.voided))
        return StepTransition(state.put(verifying.state), verifying.effects)
    }
    val raised = advanceVersion(step, ask.request, nowMilliseconds)
    val planned = carryOut(planRecord(policy, raised.state, ask.request.acknowledged), raised.state, ask)
    return StepTransition(state.put(planned.state), raised.effects + planned.effects)
}

private fun carryOut(
    plan: StepPlan,
    step: HeldStep,
    ask: TrainerAsk.NextBatch,
): Transition<HeldStep, StepEffect> {
    val record = step.record
    val isUnchanged = plan.record == record.record
    return when {
        isUnchanged && record.record.frozen != null -> {
            verify(step, ask, step.answerWithFrozen(step.pace.version))
        }

        isUnchanged -> {
            Transition(step, listOf(answerTo(ask, record.record.answerWithoutBatch())))
        }

        else -> {
            val write = StepWrite(step.key, step.lease.rowVersion, record.version, plan.record, plan.batch)
            Transition(step.copy(work = StepWork.Writing(write, ask)), listOf(StepEffect.Write(write)))
        }
    }
}

/** Has the lease read after the call arrived; an earlier reading would not show that another instance took over. */
private fun verify(
    step: HeldStep,
    ask: TrainerAsk.NextBatch,
    answer: BatchAnswer,
): Transition<HeldStep, StepEffect> =
    Transition(step.copy(work = StepWork.Verifying(ask, answer)), listOf(StepEffect.ReadView(step.key, ask.ask)))
