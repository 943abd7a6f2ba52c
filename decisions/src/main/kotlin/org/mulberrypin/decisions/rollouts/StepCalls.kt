/** Handles the calls of trainers for steps that this instance holds; each step handles one call at a time. */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BatchAnswer

internal typealias StepTransition = Transition<StepState, StepEffect>

/** Applies [next] to the resulting state and appends its effects. */
internal inline fun StepTransition.andThen(next: (StepState) -> StepTransition): StepTransition {
    val following = next(state)
    return StepTransition(following.state, effects + following.effects)
}

internal fun StepState.put(step: HeldStep): StepState = copy(heldSteps = heldSteps.put(step.key, step))

/** Handles a call for a held step, queues it, or answers it with a retry delay. */
internal fun handleCall(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    call: TrainerCall,
    nowMilliseconds: Long,
): StepTransition {
    val work = step.work
    val isRetrying = work is StepWork.Writing && work.retryAtMilliseconds != null
    return when {
        call !is TrainerCall.NextBatch -> StepTransition(state, listOf(answerTo(call, retryLater)))
        work == StepWork.None -> answerCall(policy, state, step, call, nowMilliseconds)
        isRetrying || step.calls.size >= STEP_CALL_LIMIT -> StepTransition(state, listOf(answerTo(call, retryLater)))
        else -> StepTransition(state.put(step.copy(calls = step.calls.add(call))))
    }
}

/** Handles the queued calls until one of them starts a storage operation. */
internal fun handleWaitingCalls(
    policy: StepPolicy,
    state: StepState,
    key: StepKey,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[key] ?: return StepTransition(state)
    val call = step.calls.firstOrNull()
    return if (call == null || step.work != StepWork.None) {
        StepTransition(state)
    } else {
        answerCall(policy, state, step.copy(calls = step.calls.removeAt(0)), call, nowMilliseconds)
            .andThen { handleWaitingCalls(policy, it, key, nowMilliseconds) }
    }
}

private fun answerCall(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    call: TrainerCall.NextBatch,
    nowMilliseconds: Long,
): StepTransition {
    val refusal = step.record.record.acknowledgementError(call.request.acknowledged)
    if (refusal != null) {
        val verifying = verifyLease(step, call, rejected(refusal).copy(voided = step.record.record.voided))
        return StepTransition(state.put(verifying.state), verifying.effects)
    }
    val raised = advanceVersion(step, call.request, nowMilliseconds)
    val planned = applyPlan(planRecord(policy, raised.state, call.request.acknowledged), raised.state, call)
    return StepTransition(state.put(planned.state), raised.effects + planned.effects)
}

private fun applyPlan(
    plan: StepPlan,
    step: HeldStep,
    call: TrainerCall.NextBatch,
): Transition<HeldStep, StepEffect> {
    val record = step.record
    val isUnchanged = plan.record == record.record
    return when {
        isUnchanged && record.record.frozen != null -> {
            verifyLease(step, call, step.answerWithFrozen(step.versionProgress.version))
        }

        isUnchanged -> {
            Transition(step, listOf(answerTo(call, record.record.answerWithoutBatch())))
        }

        else -> {
            val write = StepWrite(step.key, step.lease.rowVersion, record.version, plan.record, plan.batch)
            Transition(step.copy(work = StepWork.Writing(write, call)), listOf(StepEffect.Write(write)))
        }
    }
}

/**
 * Reads the lease before [answer] is sent. The read has to start after the call arrived, since an earlier one would not
 * show a takeover that happened in between.
 */
private fun verifyLease(
    step: HeldStep,
    call: TrainerCall.NextBatch,
    answer: BatchAnswer,
): Transition<HeldStep, StepEffect> =
    Transition(
        step.copy(work = StepWork.Verifying(call, answer)),
        listOf(StepEffect.ReadSnapshot(step.key, call.callNumber)),
    )
