/**
 * Counts the usage of one instance and persists it. A checkpoint is a snapshot of everything counted since the instance
 * started, so a write may be lost, repeated or reordered without usage being lost or counted twice.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.UsageLine

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideUsageCounter(
    state: UsageCounterState,
    event: UsageCounterEvent,
    nowMilliseconds: Long,
): Transition<UsageCounterState, UsageCounterEffect> =
    when (event) {
        is UsageCounterEvent.Counted -> Transition(state.count(event))
        UsageCounterEvent.CheckpointDue -> state.writeIfNeeded(nowMilliseconds)
        UsageCounterEvent.CopyDue -> state.copyIfNeeded()
        UsageCounterEvent.CopyFailed -> Transition(state.copy(copiedSequence = state.writtenSequence))
        is UsageCounterEvent.CheckpointWritten -> Transition(state.applyWrite(event.attempt))
        is UsageCounterEvent.CheckpointConflicted -> state.retryWrite(event, nowMilliseconds)
        is UsageCounterEvent.CheckpointFailed -> Transition(state.endStep(event.attempt))
    }

private fun UsageCounterState.count(event: UsageCounterEvent.Counted): UsageCounterState {
    val usage = event.usage
    if (usage.requestName in names) return this
    val line = UsageLine(usage.team, usage.route, usage.requests, usage.promptTokens, usage.generatedTokens)
    val windowStart = Math.floorDiv(event.wallMilliseconds, limits.windowMilliseconds) * limits.windowMilliseconds
    return copy(counts = counts.plus(line, windowStart, limits), names = names.plus(usage.requestName), changed = true)
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
    val step = PendingCheckpointWrite(next.attempts, nowMilliseconds, next.sequence, next.counts)
    val effect = UsageCounterEffect.WriteCheckpoint(next.attempts, next.createCheckpoint(next.counts), next.rowVersion)
    return Transition(next.copy(outstanding = step), listOf(effect))
}

private fun UsageCounterState.applyWrite(attempt: Long): UsageCounterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    return copy(
        outstanding = null,
        written = step.counts,
        writtenSequence = step.sequence,
        rowVersion = rowVersion + 1,
    )
}

private fun UsageCounterState.retryWrite(
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
    val storedSequence = maxOf(next.writtenSequence, next.copiedSequence)
    if (next.sequence <= storedSequence) return Transition(next)
    val copied = next.copy(copiedSequence = next.sequence)
    val unwritten = next.counts.changedSince(next.written)
    return Transition(copied, listOf(UsageCounterEffect.CopyCheckpoint(next.createCheckpoint(unwritten))))
}
