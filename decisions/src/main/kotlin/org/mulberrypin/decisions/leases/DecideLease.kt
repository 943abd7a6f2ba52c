/**
 * Decides how one process acquires, renews, loses and releases one lease, which is a row of the table service.
 *
 * A lease is free if its row is missing or marked as released. A process takes any other lease only after it has read
 * the row unchanged for longer than the granted duration on its own clock, or if the row names an earlier process of
 * the same candidate. Every write is conditional on the version of the row that was read. The holder computes its
 * deadline from the time just before it sent the write that the row contains. Both times allow for different clock
 * rates, so two processes never rely on the lease at the same time.
 */
package org.mulberrypin.decisions.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.LeaseRecord

/** Applies an event; [nowMilliseconds] is the time on the clock of this process. */
public fun decideLease(
    state: LeaseState,
    event: LeaseEvent,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> =
    when (event) {
        LeaseEvent.Tick -> state.handleTick(nowMilliseconds)
        LeaseEvent.Release -> state.release()
        is LeaseEvent.ContendersCounted -> Transition(state.copy(contenders = event.contenders))
        is LeaseEvent.RowRead -> state.completeStep(event.attempt).observe(event.row, nowMilliseconds)
        is LeaseEvent.ReadFailed -> Transition(state.completeStep(event.attempt))
        is LeaseEvent.Written -> state.handleWritten(event.attempt, nowMilliseconds)
        is LeaseEvent.WriteConflicted -> state.completeStep(event.attempt).observe(event.row, nowMilliseconds)
        is LeaseEvent.WriteNotRun -> Transition(state.completeStep(event.attempt).copy(lastStepMilliseconds = null))
        is LeaseEvent.WriteUnknown -> Transition(state.completeStep(event.attempt).copy(unresolved = true))
    }

private fun LeaseState.release(): Transition<LeaseState, LeaseEffect> =
    Transition(
        copy(hold = null, releasing = true),
        listOfNotNull(hold?.let(LeaseEffect::Lost)),
    )

private fun LeaseState.completeStep(attempt: Long): LeaseState =
    if (pendingStep?.attempt == attempt) copy(pendingStep = null) else this

private fun LeaseState.handleWritten(
    attempt: Long,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> {
    val step = pendingStep?.takeIf { it.attempt == attempt } ?: return Transition(copy(unresolved = true))
    return copy(pendingStep = null).observe(LeaseRow(step.expectedVersion + 1, step.written), nowMilliseconds)
}

private fun LeaseState.observe(
    row: LeaseRow,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> {
    val previous = observation
    if (previous != null && row.version < previous.row.version) return Transition(this)
    val unchanged = previous?.row?.version == row.version
    val observed = if (unchanged) previous else LeaseObservation(row, nowMilliseconds)
    val next = copy(observation = observed, unresolved = false, hold = holdFor(row, nowMilliseconds))
    return Transition(next, holdChanges(hold, next.hold))
}

private fun LeaseState.holdFor(
    row: LeaseRow,
    nowMilliseconds: Long,
): HeldLease? {
    val record = row.record?.takeIf(::isOwn) ?: return null
    val sentAtMilliseconds = sentMilliseconds[record.renewals]
    val previousHold = hold?.takeIf { it.fencingNumber == record.fencingNumber }
    return when {
        releasing -> null

        sentAtMilliseconds == null -> previousHold?.copy(rowVersion = row.version)

        else -> HeldLease(
            name = parameters.name,
            fencingNumber = record.fencingNumber,
            deadlineMilliseconds = sentAtMilliseconds + parameters.validityMilliseconds,
            sinceMilliseconds = previousHold?.sinceMilliseconds ?: nowMilliseconds,
            rowVersion = row.version,
        )
    }
}

private fun holdChanges(
    before: HeldLease?,
    after: HeldLease?,
): List<LeaseEffect> =
    if (before?.fencingNumber == after?.fencingNumber) {
        emptyList()
    } else {
        listOfNotNull(before?.let(LeaseEffect::Lost), after?.let(LeaseEffect::Acquired))
    }

private fun LeaseState.handleTick(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val step = pendingStep
    if (step != null &&
        nowMilliseconds - step.sentMilliseconds < parameters.responseTimeoutMilliseconds
    ) {
        return Transition(this)
    }
    val current = if (step == null) this else copy(pendingStep = null, unresolved = unresolved || step.written != null)
    return current.startStep(nowMilliseconds)
}

private fun LeaseState.startStep(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val observed = observation
    val due = isDue(nowMilliseconds)
    return when {
        observed == null || unresolved -> if (releasing && observed == null) Transition(this) else read(nowMilliseconds)
        isOwn(observed.row.record) && releasing -> write(observed.row, nowMilliseconds, released = true)
        releasing -> Transition(this)
        isOwn(observed.row.record) -> if (due) write(observed.row, nowMilliseconds) else Transition(this)
        canAcquire(observed, nowMilliseconds) -> write(observed.row, nowMilliseconds)
        else -> if (isReadDue(nowMilliseconds)) read(nowMilliseconds) else Transition(this)
    }
}

private fun LeaseState.isReadDue(nowMilliseconds: Long): Boolean {
    val last = lastStepMilliseconds ?: return true
    val interval = parameters.watchMilliseconds(contenders)
    if (interval == parameters.renewalMilliseconds) return nowMilliseconds - last >= interval
    val phase = parameters.phaseMilliseconds
    return (nowMilliseconds + phase).floorDiv(interval) != (last + phase).floorDiv(interval)
}

private fun LeaseState.isDue(nowMilliseconds: Long): Boolean =
    lastStepMilliseconds == null || nowMilliseconds - lastStepMilliseconds >= parameters.renewalMilliseconds

private fun LeaseState.canAcquire(
    observed: LeaseObservation,
    nowMilliseconds: Long,
): Boolean {
    val record = observed.row.record
    val ageMilliseconds = nowMilliseconds - observed.unchangedSinceMilliseconds
    return when {
        record == null || record.released -> {
            ageMilliseconds >= parameters.acquisitionDelayMilliseconds
        }

        // Only one process uses a name at a time, so the previous process of this instance has ended.
        record.holder == parameters.candidate -> {
            true
        }

        else -> {
            ageMilliseconds >=
                parameters.expiryMilliseconds(record.durationMilliseconds) + parameters.acquisitionDelayMilliseconds
        }
    }
}

private fun LeaseState.read(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val attempt = attempts + 1
    val step = LeaseStep(attempt, nowMilliseconds, expectedVersion = 0, written = null)
    val next = copy(pendingStep = step, attempts = attempt, lastStepMilliseconds = nowMilliseconds)
    return Transition(next, listOf(LeaseEffect.ReadRow(parameters.name, attempt)))
}

private fun LeaseState.write(
    row: LeaseRow,
    nowMilliseconds: Long,
    released: Boolean = false,
): Transition<LeaseState, LeaseEffect> {
    val attempt = attempts + 1
    val renewal = isOwn(row.record)
    val record = LeaseRecord(
        name = parameters.name,
        holder = parameters.candidate,
        holderIncarnation = parameters.incarnation,
        fencingNumber = (row.record?.fencingNumber ?: 0) + if (renewal) 0 else 1,
        durationMilliseconds = parameters.durationMilliseconds,
        renewals = attempt,
        released = released,
    )
    val next = copy(
        pendingStep = LeaseStep(attempt, nowMilliseconds, row.version, record),
        attempts = attempt,
        sentMilliseconds = sentMilliseconds.withSentTime(attempt, nowMilliseconds),
        lastStepMilliseconds = nowMilliseconds,
    )
    return Transition(next, listOf(LeaseEffect.WriteRow(attempt, row.version, record, renewal)))
}

private fun PersistentMap<Long, Long>.withSentTime(
    attempt: Long,
    nowMilliseconds: Long,
): PersistentMap<Long, Long> =
    put(attempt, nowMilliseconds)
        .entries
        .sortedBy { it.key }
        .takeLast(MAX_SENT_WRITES)
        .associate { it.key to it.value }
        .toPersistentMap()
