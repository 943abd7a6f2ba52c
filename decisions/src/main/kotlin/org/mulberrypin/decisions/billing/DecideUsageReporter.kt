/**
 * Decides how the process that holds the lease for reports freezes, sends and confirms windows, one step at a time.
 *
 * The figures of a window are written together with what they were taken from, under the condition that the lease's
 * row is unchanged, before they are sent for the first time; each sending takes them from that row. A new holder waits
 * until every sending that an earlier one may have begun is over.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.outlasted

/** Decides an event of the reporter of usage. */
public fun decideUsageReporter(
    state: UsageReporterState,
    event: UsageReporterEvent,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> =
    when (event) {
        is UsageReporterEvent.Tick -> state.continueWork(event, nowMilliseconds)
        is UsageReporterEvent.Loaded -> Transition(state.load(event))
        is UsageReporterEvent.Done -> Transition(state.finish(event.attempt))
        is UsageReporterEvent.Failed -> Transition(state.startOver(event.attempt, nowMilliseconds))
    }

private fun UsageReporterState.load(event: UsageReporterEvent.Loaded): UsageReporterState {
    if (outstanding?.attempt != event.attempt) return this
    val names = event.ledger.reports.map { it.value.name }
    return copy(outstanding = null, ledger = event.ledger, toConfirm = toConfirm.retainAll(names))
}

private fun UsageReporterState.finish(attempt: Long): UsageReporterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    val ended = copy(outstanding = null)
    return when (val effect = step.effect) {
        is UsageReporterEffect.Load -> ended
        is UsageReporterEffect.Freeze -> ended.copy(ledger = ledger?.after(effect.freeze))
        is UsageReporterEffect.Send -> ended.copy(toConfirm = toConfirm.add(effect.window.name))
        is UsageReporterEffect.Confirm -> ended.withoutReport(effect.report.value.name)
    }
}

private fun UsageReporterState.withoutReport(name: String): UsageReporterState =
    copy(
        ledger = ledger?.copy(reports = ledger.reports.filter { it.value.name != name }),
        toConfirm = toConfirm.remove(name),
    )

private fun UsageReporterState.continueWork(
    event: UsageReporterEvent.Tick,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> {
    val awaited = outstanding
    val lease = event.lease
    return when {
        awaited != null && !isAnswerLost(awaited.sentMilliseconds, nowMilliseconds) -> Transition(this)
        lease == null -> Transition(UsageReporterState(terms, attempts = attempts))
        awaited == null -> begin(lease, event.wallMilliseconds, nowMilliseconds)
        else -> startOver(awaited.attempt, nowMilliseconds).begin(lease, event.wallMilliseconds, nowMilliseconds)
    }
}

private fun UsageReporterState.begin(
    lease: LeaseHold,
    wallMilliseconds: Long,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> {
    val effect = nextEffect(lease, nowMilliseconds) ?: return Transition(this)
    val step = UsageReporterStep(effect.attempt, nowMilliseconds, effect)
    val next = copy(outstanding = step, attempts = effect.attempt)
    return Transition(next.scheduled(effect, wallMilliseconds, nowMilliseconds), listOf(effect))
}

private fun UsageReporterState.scheduled(
    effect: UsageReporterEffect,
    wallMilliseconds: Long,
    nowMilliseconds: Long,
): UsageReporterState =
    if (effect is UsageReporterEffect.Load) {
        copy(
            loadedWallMilliseconds = wallMilliseconds,
            nextLoadMilliseconds = nowMilliseconds + terms.loadMilliseconds,
        )
    } else {
        this
    }

private fun UsageReporterState.nextEffect(
    lease: LeaseHold,
    nowMilliseconds: Long,
): UsageReporterEffect? {
    val attempt = attempts + 1
    val rows = ledger
    if (nextLoadMilliseconds == null ||
        nowMilliseconds >= nextLoadMilliseconds
    ) {
        return UsageReporterEffect.Load(attempt)
    }
    if (rows == null) return null
    val accepted = rows.reports.find { it.value.name in toConfirm }
    val freeze = planFreeze(rows, lease, terms, loadedWallMilliseconds)
    return when {
        accepted != null -> UsageReporterEffect.Confirm(attempt, accepted)
        freeze != null -> UsageReporterEffect.Freeze(attempt, freeze)
        else -> nextReport(rows, lease, nowMilliseconds)
    }
}

private fun UsageReporterState.nextReport(
    rows: UsageLedger,
    lease: LeaseHold,
    nowMilliseconds: Long,
): UsageReporterEffect? {
    val report = rows.reports.minByOrNull { it.value.startWallMilliseconds } ?: return null
    val earlierSendsEnded = lease.outlasted(nowMilliseconds, terms.longestSendMilliseconds, terms.clockRateBound)
    val due = nextSendMilliseconds == null || nowMilliseconds >= nextSendMilliseconds
    return UsageReporterEffect
        .Send(attempts + 1, report.value, lease.fencingNumber)
        .takeIf { earlierSendsEnded && due }
}

private fun UsageReporterState.startOver(
    attempt: Long,
    nowMilliseconds: Long,
): UsageReporterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    val retryMilliseconds = nowMilliseconds + RETRY_MILLISECONDS
    return if (step.effect is UsageReporterEffect.Send) {
        copy(outstanding = null, nextSendMilliseconds = retryMilliseconds)
    } else {
        copy(outstanding = null, ledger = null, nextLoadMilliseconds = retryMilliseconds)
    }
}

private const val RETRY_MILLISECONDS = 2_000L
