/**
 * What follows when a write or a read about a held step ends. A write is repeated unchanged until it is known whether
 * it took effect; a lease that has passed to another instance ends the holding.
 */
package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.GroupChange

/** Time between two attempts at a write that the store did not answer. */
public const val WRITE_RETRY_MILLISECONDS: Long = 1000

internal fun endWrite(
    policy: StepPolicy,
    state: StepState,
    event: StepEvent.WriteEnded,
    nowMilliseconds: Long,
): StepTransition {
    val step = state.held[event.write.key]
    val work = step?.work
    if (step == null || work !is StepWork.Writing || work.write != event.write) {
        return StepTransition(state)
    }
    return when (event.result) {
        StoreResult.COMMITTED -> finishWrite(policy, state, step, work, nowMilliseconds)

        StoreResult.CONFLICT -> StepTransition(
            state.put(step.copy(work = work.copy(conflicted = true))),
            listOf(StepEffect.ReadView(step.key)),
        )

        StoreResult.FAILED -> postponeWrite(state, step, work, nowMilliseconds)
    }
}

/** Decides from the rows what became of a write that conflicted, and whether this instance still holds the step. */
internal fun checkHeldStep(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    event: StepEvent.ViewRead,
    nowMilliseconds: Long,
): StepTransition {
    val work = step.work
    val view = event.view
    val isLost = view != null && view.lease?.version != step.lease.rowVersion
    return when {
        work is StepWork.Writing && !work.conflicted -> {
            StepTransition(state)
        }

        work is StepWork.Verifying && work.ask.ask != event.ask -> {
            StepTransition(state)
        }

        isLost -> {
            loseStep(state, step)
        }

        work is StepWork.Writing && view == null -> {
            postponeWrite(state, step, work, nowMilliseconds)
        }

        work is StepWork.Writing -> {
            settleWrite(policy, state, step, work, view?.record?.version, nowMilliseconds)
        }

        work is StepWork.Verifying -> {
            val answer = if (view == null) askAgain else work.answer
            StepTransition(state.put(step.copy(work = StepWork.None)), listOf(answerTo(work.ask, answer)))
                .andThen { continueAsks(policy, it, step.key, nowMilliseconds) }
        }

        else -> {
            StepTransition(state)
        }
    }
}

private fun settleWrite(
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

        else -> loseStep(state, step)
    }

private fun postponeWrite(
    state: StepState,
    step: HeldStep,
    work: StepWork.Writing,
    nowMilliseconds: Long,
): StepTransition {
    val later = work.copy(
        ask = null,
        retryAtMilliseconds = nowMilliseconds + WRITE_RETRY_MILLISECONDS,
        conflicted = false,
    )
    val postponed = step.copy(work = later, asks = step.asks.clear())
    return StepTransition(state.put(postponed), answerAllAgain(step))
}

private fun finishWrite(
    policy: StepPolicy,
    state: StepState,
    step: HeldStep,
    work: StepWork.Writing,
    nowMilliseconds: Long,
): StepTransition {
    val written = applyWrite(step, work.write)
    val record = written.record.record
    val answer = if (record.frozen == null) record.answerWithoutBatch() else written.answerWithFrozen(step.pace.version)
    val answers = listOfNotNull(work.ask?.let { answerTo(it, answer) })
    val explained = answers + explainVoided(step, work.write)
    return if (record.complete) {
        val others = written.asks.map { answerTo(it, record.answerWithoutBatch()) }
        StepTransition(state.copy(held = state.held.remove(step.key)), explained + others)
    } else {
        StepTransition(state.put(written), explained)
            .andThen { continueAsks(policy, it, step.key, nowMilliseconds) }
    }
}

private fun applyWrite(
    step: HeldStep,
    write: StepWrite,
): HeldStep {
    val frozen = write.record.frozen
    val voided = if (isVoiding(step, write)) {
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

private fun isVoiding(
    step: HeldStep,
    write: StepWrite,
): Boolean = write.record.voided.size > step.record.record.voided.size

private fun explainVoided(
    step: HeldStep,
    write: StepWrite,
): List<StepEffect> =
    if (isVoiding(step, write)) {
        val number = write.record.voided.last()
        val reason = "Batch $number was voided: version ${step.minimumVersion} is now the oldest permitted."
        listOf(StepEffect.Explain(step.key, group = "", peer = "", reason = reason))
    } else {
        emptyList()
    }

/** Stops holding a step; what is under way elsewhere is ended, and the trainer asks again. */
internal fun loseStep(
    state: StepState,
    step: HeldStep,
): StepTransition {
    val reason = "The lease with fencing number ${step.lease.fencingNumber} ended; another instance may hold the step."
    val explained = StepEffect.Explain(step.key, group = "", peer = "", reason = reason)
    val effects = answerAllAgain(step) + changeAttempts(step, GroupChange.CANCEL) + explained
    return StepTransition(state.copy(held = state.held.remove(step.key)), effects)
}

private fun answerAllAgain(step: HeldStep): List<StepEffect> {
    val current = when (val work = step.work) {
        is StepWork.None -> null
        is StepWork.Writing -> work.ask
        is StepWork.Verifying -> work.ask
    }
    return (listOfNotNull(current) + step.asks).map { answerTo(it, askAgain) }
}
