/**
 * Decides how an instance counts usage and makes it last. A checkpoint is a snapshot of all that was counted since the
 * instance started, so a write may be lost, repeated or overtaken without usage being lost or counted twice.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.UsageLine

/** Decides an event of the counter of one instance. */
public fun decideUsageCounter(
    state: UsageCounterState,
    event: UsageCounterEvent,
    nowMilliseconds: Long,
): Transition<UsageCounterState, UsageCounterEffect> =
    when (event) {
        is UsageCounterEvent.Counted -> Transition(state.record(event))
        UsageCounterEvent.CheckpointDue -> state.writeIfNeeded(nowMilliseconds)
        UsageCounterEvent.CopyDue -> state.copyIfNeeded()
        UsageCounterEvent.CopyFailed -> Transition(state.copy(copiedSequence = state.writtenSequence))
        is UsageCounterEvent.CheckpointWritten -> Transition(state.acceptWrite(event.attempt))
        is UsageCounterEvent.CheckpointConflicted -> state.writeAgain(event, nowMilliseconds)
        is UsageCounterEvent.CheckpointFailed -> Transition(state.endStep(event.attempt))
    }

private fun UsageCounterState.record(event: UsageCounterEvent.Counted): UsageCounterState {
    val usage = event.usage
    if (usage.name in names) return this
    val line = UsageLine(usage.team, usage.route, usage.requests, usage.promptTokens, usage.generatedTokens)
    val start = Math.floorDiv(event.wallMilliseconds, terms.windowMilliseconds) * terms.windowMilliseconds
    return copy(counts = counts.plus(line, start, terms), names = names.remember(usage.name), changed = true)
}

private fun UsageCounterState.endStep(attempt: Long): UsageCounterState =
    if (outstanding?.attempt == attempt) copy(outstanding = null) else this

private fun UsageCounterState.takeSnapshot(): UsageCounterState =
    if (changed) copy(sequence = sequence + 1, changed = false) else this

private fun UsageCounterState.writeIfNeeded(
    nowMilliseconds: Long,
): Transition<UsageCounterState, UsageCounterEffect> {
    val waiting = outstanding != null && !isAnswerLost(outstanding.sentMilliseconds, nowMilliseconds)
    if (waiting || isWritten()) return Transition(this)
    val next = takeSnapshot().copy(attempts = attempts + 1)
    val step = UsageStep(next.attempts, nowMilliseconds, next.sequence, next.counts)
    val effect = UsageCounterEffect.WriteCheckpoint(next.attempts, next.checkpoint(next.counts), next.rowVersion)
    return Transition(next.copy(outstanding = step), listOf(effect))
}

private fun UsageCounterState.acceptWrite(attempt: Long): UsageCounterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    return copy(
        outstanding = null,
        written = step.counts,
        writtenSequence = step.sequence,
        rowVersion = rowVersion + 1,
    )
}

private fun UsageCounterState.writeAgain(
    event: UsageCounterEvent.CheckpointConflicted,
    nowMilliseconds: Long,
): Transition<UsageCounterState, UsageCounterEffect> =
    if (outstanding?.attempt == event.attempt) {
        copy(outstanding = null, rowVersion = event.rowVersion).writeIfNeeded(nowMilliseconds)
    } else {
        Transition(this)
    }

private fun UsageCounterState.copyIfNeeded(): Transition<UsageCounterState, UsageCounterEffect> {
    val next = takeSnapshot()
    val known = maxOf(next.writtenSequence, next.copiedSequence)
    if (next.sequence <= known) return Transition(next)
    val copied = next.copy(copiedSequence = next.sequence)
    val unwritten = next.counts.changedSince(next.written)
    return Transition(copied, listOf(UsageCounterEffect.CopyCheckpoint(next.checkpoint(unwritten))))
}
