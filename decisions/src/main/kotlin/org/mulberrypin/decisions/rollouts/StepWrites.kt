/**
 * Handles the outcomes of writes and reads for held steps. A write is repeated unchanged until it is known whether it
 * took effect; a step whose lease another instance has taken over is dropped.
 */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupChange

/** Delay before a write whose outcome is unknown is repeated. */
public const val WRITE_RETRY_DELAY_MILLISECONDS: Long = 1000

internal fun handleWriteResult(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.WriteEnded,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.heldSteps[event.write.key]
    val work = step?.work
    if (step == null || work !is StepWork.Writing || work.write != event.write) {
        return StepTransition(state)
    }
    return when (event.result) {
        StoreResult.COMMITTED -> finishWrite(policy, state, step, work, nowMilliseconds)

        StoreResult.CONFLICT -> StepTransition(
            state.put(step.copy(work = work.copy(conflicted = true))),
            listOf(StepEffect.ReadSnapshot(step.key)),
        )

        StoreResult.FAILED -> postponeWrite(state, step, work, nowMilliseconds)
    }
}

/** Handles a read of the rows: checks the lease, resolves a conflicting write and answers a verified call. */
internal fun handleRead(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    event: StepEvent.SnapshotRead,
    nowMilliseconds: Long,
): StepTransition {
    val work = step.work
    val snapshot = event.snapshot
    val isLost = snapshot != null && snapshot.lease?.version != step.lease.rowVersion
    return when {
        work is StepWork.Writing && !work.conflicted -> {
            StepTransition(state)
        }

        work is StepWork.Verifying && work.call.callNumber != event.callNumber -> {
            StepTransition(state)
        }

        isLost -> {
            stopHolding(state, step)
        }

        work is StepWork.Writing && snapshot == null -> {
            postponeWrite(state, step, work, nowMilliseconds)
        }

        work is StepWork.Writing -> {
            resolveConflict(policy, state, step, work, snapshot?.record?.version, nowMilliseconds)
        }

        work is StepWork.Verifying -> {
            val answer = if (snapshot == null) retryLater else work.answer
            StepTransition(state.put(step.copy(work = StepWork.None)), listOf(answerTo(work.call, answer)))
                .andThen { handleWaitingCalls(policy, it, step.key, nowMilliseconds) }
        }

        else -> {
            StepTransition(state)
        }
    }
}

private fun resolveConflict(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    work: StepWork.Writing,
    foundVersion: Long?,
    nowMilliseconds: Long,
): StepTransition =
    when (foundVersion) {
        work.write.recordVersion + 1 -> finishWrite(policy, state, step, work, nowMilliseconds)

        work.write.recordVersion -> StepTransition(
            state.put(step.copy(work = work.copy(conflicted = false))),
            listOf(StepEffect.Write(work.write)),
        )

        else -> stopHolding(state, step)
    }

private fun postponeWrite(
    state: StepState,
    step: HeldStep,
    work: StepWork.Writing,
    nowMilliseconds: Long,
): StepTransition {
    val later = work.copy(
        call = null,
        retryAtMilliseconds = nowMilliseconds + WRITE_RETRY_DELAY_MILLISECONDS,
        conflicted = false,
    )
    val postponed = step.copy(work = later, calls = step.calls.clear())
    return StepTransition(state.put(postponed), deferAllCalls(step))
}

private fun finishWrite(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    work: StepWork.Writing,
    nowMilliseconds: Long,
): StepTransition {
    val saved = applyWrite(step, work.write)
    val record = saved.record.record
    val answer =
        if (record.frozen == null) record.answerWithoutBatch() else saved.answerWithFrozen(step.versionProgress.version)
    val answers = listOfNotNull(work.call?.let { answerTo(it, answer) })
    val explained = answers + explainVoided(step, work.write)
    return if (record.complete) {
        val others = saved.calls.map { answerTo(it, record.answerWithoutBatch()) }
        StepTransition(state.copy(heldSteps = state.heldSteps.remove(step.key)), explained + others)
    } else {
        StepTransition(state.put(saved), explained)
            .andThen { handleWaitingCalls(policy, it, step.key, nowMilliseconds) }
    }
}

private fun applyWrite(
    step: HeldStep,
    write: StepWrite,
): HeldStep {
    val frozen = write.record.frozen
    val voided = if (voidsBatch(step, write)) {
        step.record.record.frozen
            ?.groups
            .orEmpty()
    } else {
        emptyList()
    }
    return step.copy(
        record = Versioned(write.recordVersion + 1, write.record),
        frozenBatch = if (frozen == null) null else write.batch ?: step.frozenBatch,
        ready = frozen?.groups.orEmpty().fold(step.ready) { ready, group -> ready.remove(group) },
        waiting = step.waiting.putAll(voided.associateWith { WaitingGroup() }),
        work = StepWork.None,
    )
}

private fun voidsBatch(
    step: HeldStep,
    write: StepWrite,
): Boolean = write.record.voided.size > step.record.record.voided.size

private fun explainVoided(
    step: HeldStep,
    write: StepWrite,
): List<StepEffect> =
    if (voidsBatch(step, write)) {
        val number = write.record.voided.last()
        val reason = "Batch $number was voided: weight version ${step.minimumVersion} is now the oldest permitted."
        listOf(StepEffect.Explain(step.key, group = "", peer = "", reason = reason))
    } else {
        emptyList()
    }

/** Drops a held step: cancels its assignments and answers its calls with a retry delay. */
internal fun stopHolding(
    state: StepState,
    step: HeldStep,
): StepTransition {
    val reason = "The lease with fencing number ${step.lease.fencingNumber} ended; another instance may hold the step."
    val explained = StepEffect.Explain(step.key, group = "", peer = "", reason = reason)
    val effects = deferAllCalls(step) + changeAttempts(step, GroupChange.CANCEL) + explained
    return StepTransition(state.copy(heldSteps = state.heldSteps.remove(step.key)), effects)
}

private fun deferAllCalls(step: HeldStep): List<StepEffect> {
    val current = when (val work = step.work) {
        is StepWork.None -> null
        is StepWork.Writing -> work.call
        is StepWork.Verifying -> work.call
    }
    return (listOfNotNull(current) + step.calls).map { answerTo(it, retryLater) }
}
