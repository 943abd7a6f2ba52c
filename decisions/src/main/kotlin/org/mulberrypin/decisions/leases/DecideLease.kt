/**
 * Decides how one process takes, renews, loses and gives up one lease that is kept as a row of the table service.
 *
 * A process takes the lease only after it has itself seen the row unchanged for longer than the row grants, by its own
 * clock, or when the row names an earlier process of the same candidate, and writes only on the condition that the row
 * is still the one it saw. The holder counts its deadline from the
 * moment before it sent the write that the row shows. Both times leave room for clocks of different rates, so two
 * processes never rely on the lease at the same time.
 */
package org.mulberrypin.decisions.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.LeaseRecord

/** Decides an event of a process that contends for a lease. */
public fun decideLease(
    state: LeaseState,
    event: LeaseEvent,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> =
    when (event) {
        LeaseEvent.Tick -> state.continueWork(nowMilliseconds)
        LeaseEvent.Release -> state.giveUp()
        is LeaseEvent.RowRead -> state.endStep(event.attempt).observe(event.row, nowMilliseconds)
        is LeaseEvent.ReadFailed -> Transition(state.endStep(event.attempt))
        is LeaseEvent.Written -> state.acceptWrite(event.attempt, nowMilliseconds)
        is LeaseEvent.WriteConflicted -> state.endStep(event.attempt).observe(event.row, nowMilliseconds)
        is LeaseEvent.WriteNotRun -> Transition(state.endStep(event.attempt).copy(lastStepMilliseconds = null))
        is LeaseEvent.WriteUnknown -> Transition(state.endStep(event.attempt).copy(unresolved = true))
    }

private fun LeaseState.giveUp(): Transition<LeaseState, LeaseEffect> =
    Transition(
        copy(hold = null, releasing = true),
        listOfNotNull(hold?.let(LeaseEffect::Lost)),
    )

private fun LeaseState.endStep(attempt: Long): LeaseState =
    if (outstanding?.attempt == attempt) copy(outstanding = null) else this

private fun LeaseState.acceptWrite(
    attempt: Long,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return Transition(copy(unresolved = true))
    return copy(outstanding = null).observe(LeaseRow(step.expectedVersion + 1, step.written), nowMilliseconds)
}

private fun LeaseState.observe(
    row: LeaseRow,
    nowMilliseconds: Long,
): Transition<LeaseState, LeaseEffect> {
    val known = observation
    if (known != null && row.version < known.row.version) return Transition(this)
    val unchanged = known?.row?.version == row.version
    val seen = if (unchanged) known else LeaseObservation(row, nowMilliseconds)
    val next = copy(observation = seen, unresolved = false, hold = holdUnder(row, nowMilliseconds))
    return Transition(next, changeOfHolder(hold, next.hold))
}

private fun LeaseState.holdUnder(
    row: LeaseRow,
    nowMilliseconds: Long,
): LeaseHold? {
    val record = row.record?.takeIf(::isOwn) ?: return null
    val sent = sentMilliseconds[record.renewals]
    val earlier = hold?.takeIf { it.fencingNumber == record.fencingNumber }
    return when {
        releasing -> null

        sent == null -> earlier?.copy(rowVersion = row.version)

        else -> LeaseHold(
            name = terms.name,
            fencingNumber = record.fencingNumber,
            deadlineMilliseconds = sent + terms.reliedOnMilliseconds,
            sinceMilliseconds = earlier?.sinceMilliseconds ?: nowMilliseconds,
            rowVersion = row.version,
        )
    }
}

private fun changeOfHolder(
    before: LeaseHold?,
    after: LeaseHold?,
): List<LeaseEffect> =
    if (before?.fencingNumber == after?.fencingNumber) {
        emptyList()
    } else {
        listOfNotNull(before?.let(LeaseEffect::Lost), after?.let(LeaseEffect::Taken))
    }

private fun LeaseState.continueWork(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val step = outstanding
    if (step != null && nowMilliseconds - step.sentMilliseconds < terms.answerMilliseconds) return Transition(this)
    val ready = if (step == null) this else copy(outstanding = null, unresolved = unresolved || step.written != null)
    return ready.beginStep(nowMilliseconds)
}

private fun LeaseState.beginStep(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val seen = observation
    val due = isDue(nowMilliseconds)
    return when {
        seen == null || unresolved -> if (releasing && seen == null) Transition(this) else read(nowMilliseconds)
        isOwn(seen.row.record) && releasing -> write(seen.row, nowMilliseconds, released = true)
        releasing -> Transition(this)
        isOwn(seen.row.record) -> if (due) write(seen.row, nowMilliseconds) else Transition(this)
        isFree(seen, nowMilliseconds) -> write(seen.row, nowMilliseconds)
        else -> if (due) read(nowMilliseconds) else Transition(this)
    }
}

private fun LeaseState.isDue(nowMilliseconds: Long): Boolean =
    lastStepMilliseconds == null || nowMilliseconds - lastStepMilliseconds >= terms.renewalMilliseconds

private fun LeaseState.isFree(
    seen: LeaseObservation,
    nowMilliseconds: Long,
): Boolean {
    val record = seen.row.record
    val watched = nowMilliseconds - seen.sinceMilliseconds
    return when {
        record == null || record.released -> watched >= terms.contentionMilliseconds

        // A name is used by one process at a time, so this is the lease of an earlier process that has ended.
        record.holder == terms.candidate -> true

        else -> watched >= terms.watchedMilliseconds(record.durationMilliseconds) + terms.contentionMilliseconds
    }
}

private fun LeaseState.read(nowMilliseconds: Long): Transition<LeaseState, LeaseEffect> {
    val attempt = attempts + 1
    val step = LeaseStep(attempt, nowMilliseconds, expectedVersion = 0, written = null)
    val next = copy(outstanding = step, attempts = attempt, lastStepMilliseconds = nowMilliseconds)
    return Transition(next, listOf(LeaseEffect.ReadRow(terms.name, attempt)))
}

private fun LeaseState.write(
    row: LeaseRow,
    nowMilliseconds: Long,
    released: Boolean = false,
): Transition<LeaseState, LeaseEffect> {
    val attempt = attempts + 1
    val renewal = isOwn(row.record)
    val record = LeaseRecord(
        name = terms.name,
        holder = terms.candidate,
        holderIncarnation = terms.incarnation,
        fencingNumber = (row.record?.fencingNumber ?: 0) + if (renewal) 0 else 1,
        durationMilliseconds = terms.durationMilliseconds,
        renewals = attempt,
        released = released,
    )
    val next = copy(
        outstanding = LeaseStep(attempt, nowMilliseconds, row.version, record),
        attempts = attempt,
        sentMilliseconds = sentMilliseconds.remember(attempt, nowMilliseconds),
        lastStepMilliseconds = nowMilliseconds,
    )
    return Transition(next, listOf(LeaseEffect.WriteRow(attempt, row.version, record, renewal)))
}

private fun PersistentMap<Long, Long>.remember(
    attempt: Long,
    nowMilliseconds: Long,
): PersistentMap<Long, Long> =
    put(attempt, nowMilliseconds)
        .entries
        .sortedBy { it.key }
        .takeLast(SENT_WRITES_LIMIT)
        .associate { it.key to it.value }
        .toPersistentMap()
