/**
 * Freezes and sends usage windows and deletes accepted reports, one step at a time, in the process that holds the lease
 * for reports.
 *
 * Before a report is sent for the first time, its content is written in one commit with the usage rows from which it
 * was computed, on condition that the lease's row is unchanged; every send reads the content from that row. A new lease
 * holder waits until every send that an earlier holder may have started has ended.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.hasOutlastedEarlierHolders

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideUsageReporter(
    state: UsageReporterState,
    event: UsageReporterEvent,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> =
    when (event) {
        is UsageReporterEvent.Tick -> state.advance(event, nowMilliseconds)
        is UsageReporterEvent.Loaded -> Transition(state.applyLedger(event))
        is UsageReporterEvent.StepSucceeded -> Transition(state.completeStep(event.attempt))
        is UsageReporterEvent.StepFailed -> Transition(state.prepareRetry(event.attempt, nowMilliseconds))
    }

private fun UsageReporterState.applyLedger(event: UsageReporterEvent.Loaded): UsageReporterState {
    if (outstanding?.attempt != event.attempt) return this
    val names = event.ledger.reports.map { it.value.name }
    return copy(outstanding = null, ledger = event.ledger, acceptedReportNames = acceptedReportNames.retainAll(names))
}

private fun UsageReporterState.completeStep(attempt: Long): UsageReporterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    val ended = copy(outstanding = null)
    return when (val effect = step.effect) {
        is UsageReporterEffect.Load -> ended
        is UsageReporterEffect.Freeze -> ended.copy(ledger = ledger?.afterCommit(effect.freeze))
        is UsageReporterEffect.Send -> ended.copy(acceptedReportNames = acceptedReportNames.add(effect.window.name))
        is UsageReporterEffect.DeleteReport -> ended.withoutReport(effect.report.value.name)
    }
}

private fun UsageReporterState.withoutReport(name: String): UsageReporterState =
    copy(
        ledger = ledger?.copy(reports = ledger.reports.filter { it.value.name != name }),
        acceptedReportNames = acceptedReportNames.remove(name),
    )

private fun UsageReporterState.advance(
    event: UsageReporterEvent.Tick,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> {
    val pendingStep = outstanding
    val lease = event.lease
    return when {
        pendingStep != null && !isAnswerLost(pendingStep.sentMilliseconds, nowMilliseconds) -> Transition(this)
        lease == null -> Transition(UsageReporterState(limits, attempts = attempts))
        pendingStep == null -> begin(lease, event.wallMilliseconds, nowMilliseconds)
        else -> prepareRetry(pendingStep.attempt, nowMilliseconds).begin(lease, event.wallMilliseconds, nowMilliseconds)
    }
}

private fun UsageReporterState.begin(
    lease: HeldLease,
    wallMilliseconds: Long,
    nowMilliseconds: Long,
): Transition<UsageReporterState, UsageReporterEffect> {
    val effect = nextEffect(lease, nowMilliseconds) ?: return Transition(this)
    val step = UsageReporterStep(effect.attempt, nowMilliseconds, effect)
    val next = copy(outstanding = step, attempts = effect.attempt)
    return Transition(next.withLoadScheduled(effect, wallMilliseconds, nowMilliseconds), listOf(effect))
}

private fun UsageReporterState.withLoadScheduled(
    effect: UsageReporterEffect,
    wallMilliseconds: Long,
    nowMilliseconds: Long,
): UsageReporterState =
    if (effect is UsageReporterEffect.Load) {
        copy(
            loadedWallMilliseconds = wallMilliseconds,
            nextLoadMilliseconds = nowMilliseconds + limits.loadMilliseconds,
        )
    } else {
        this
    }

private fun UsageReporterState.nextEffect(
    lease: HeldLease,
    nowMilliseconds: Long,
): UsageReporterEffect? {
    val attempt = attempts + 1
    val currentLedger = ledger
    if (nextLoadMilliseconds == null ||
        nowMilliseconds >= nextLoadMilliseconds
    ) {
        return UsageReporterEffect.Load(attempt)
    }
    if (currentLedger == null) return null
    val accepted = currentLedger.reports.find { it.value.name in acceptedReportNames }
    val freeze = planFreeze(currentLedger, lease, limits, loadedWallMilliseconds)
    return when {
        accepted != null -> UsageReporterEffect.DeleteReport(attempt, accepted)
        freeze != null -> UsageReporterEffect.Freeze(attempt, freeze)
        else -> nextReport(currentLedger, lease, nowMilliseconds)
    }
}

private fun UsageReporterState.nextReport(
    currentLedger: UsageLedger,
    lease: HeldLease,
    nowMilliseconds: Long,
): UsageReporterEffect? {
    val report = currentLedger.reports.minByOrNull { it.value.startWallMilliseconds } ?: return null
    val earlierSendsEnded = lease.hasOutlastedEarlierHolders(
        nowMilliseconds,
        limits.sendTimeoutMilliseconds,
        limits.clockRateBound,
    )
    val due = nextSendMilliseconds == null || nowMilliseconds >= nextSendMilliseconds
    return UsageReporterEffect
        .Send(attempts + 1, report.value, lease.fencingNumber)
        .takeIf { earlierSendsEnded && due }
}

private fun UsageReporterState.prepareRetry(
    attempt: Long,
    nowMilliseconds: Long,
): UsageReporterState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    val retryMilliseconds = nowMilliseconds + RETRY_DELAY_MILLISECONDS
    return if (step.effect is UsageReporterEffect.Send) {
        copy(outstanding = null, nextSendMilliseconds = retryMilliseconds)
    } else {
        copy(outstanding = null, ledger = null, nextLoadMilliseconds = retryMilliseconds)
    }
}

private const val RETRY_DELAY_MILLISECONDS = 2_000L
