package org.mulberrypin.service.billing

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.billing.UsageFreeze
import org.mulberrypin.decisions.billing.UsageReporterEffect
import org.mulberrypin.decisions.billing.UsageReporterEvent
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.allowsOperation
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow
import org.mulberrypin.service.EntryContext

/** Executes the blocking steps of usage reporting: reading, freezing and sending windows, deleting accepted reports. */
internal class BillingReporter(
    private val context: EntryContext,
    private val currentLease: (String) -> HeldLease?,
    private val postEvent: (BillingEvent) -> Unit,
) {
    private val tables = context.platform.tables
    private val sendAttempts = context.metrics.counter("mulberrypin.usage.sendings")
    private val sendFailures = context.metrics.counter("mulberrypin.usage.sending.failures")

    fun execute(step: BillingReportStep) {
        val event = when (val effect = step.effect) {
            is UsageReporterEffect.Load -> load(effect)
            is UsageReporterEffect.Freeze -> resultEvent(effect.attempt, commit(freezeCommit(effect.freeze)))
            is UsageReporterEffect.Send -> resultEvent(effect.attempt, send(effect))
            is UsageReporterEffect.DeleteReport -> resultEvent(effect.attempt, commit(deleteReportCommit(effect)))
        }
        postEvent(BillingEvent.ReporterResult(event))
    }

    private fun resultEvent(
        attempt: Long,
        succeeded: Boolean,
    ): UsageReporterEvent =
        if (succeeded) UsageReporterEvent.StepSucceeded(attempt) else UsageReporterEvent.StepFailed(attempt)

    private fun load(effect: UsageReporterEffect.Load): UsageReporterEvent =
        when (val ledger = readUsageLedger(tables)) {
            is Outcome.Success -> {
                UsageReporterEvent.Loaded(effect.attempt, ledger.value)
            }

            is Outcome.Failure -> {
                logger.warn("Cannot read usage from the table service: {}.", ledger.fault)
                UsageReporterEvent.StepFailed(effect.attempt)
            }
        }

    private fun commit(commit: TableCommit): Boolean {
        val outcome = tables.commit(commit)
        return outcome is Outcome.Success && outcome.value.committed
    }

    /** Sends a window if the lease covers the send timeout. No other step may separate the lease check and the call. */
    private fun send(effect: UsageReporterEffect.Send): Boolean {
        val hold = currentLease(USAGE_LEASE)?.takeIf { it.fencingNumber == effect.fencingNumber } ?: return false
        if (!hold.allowsOperation(
                context.clock.readMilliseconds(),
                sendTimeoutMilliseconds(context.settings),
            )
        ) {
            return false
        }
        val outcome = context.platform.usage.send(effect.window)
        sendAttempts.increment()
        val reason = when (outcome) {
            is Outcome.Success -> if (outcome.value.accepted) "Accepted." else "Refused: ${outcome.value.reason}"
            is Outcome.Failure -> "No response: ${outcome.fault}"
        }
        val accepted = outcome is Outcome.Success && outcome.value.accepted
        if (!accepted) sendFailures.increment()
        explain(effect.window, reason)
        return accepted
    }

    private fun explain(
        window: UsageWindow,
        reason: String,
    ) {
        logger.info("Report {}: {}", window.name, reason)
        context.explain(
            Explanation(
                wallMilliseconds = context.clock.readWallMilliseconds(),
                instance = context.settings.instance.name,
                subject = "report",
                name = window.name,
                step = "send usage",
                peer = context.settings.platform.usageAddress,
                reason = reason,
            ),
        )
    }

    private companion object {
        private val logger = LogManager.getLogger("billing")
    }
}

/** Creates the commit that freezes windows; it conflicts if the lease or a row has changed since it was read. */
private fun freezeCommit(freeze: UsageFreeze): TableCommit {
    val conditions = listOf(
        usageCondition(freeze.lease.name, freeze.lease.rowVersion),
        usageCondition(PROGRESS_KEY, freeze.progress.version),
    )
    val progress = usageWrite(PROGRESS_KEY, freeze.progress.value, UsageProgress.serializer())
    return TableCommit(
        conditions = conditions +
            freeze.taken.map { (key, row) -> usageCondition(TAKEN_PREFIX + key, row.version) } +
            freeze.reports.map { usageCondition(REPORT_PREFIX + it.name, 0) },
        writes = listOf(progress) +
            freeze.taken.map { (key, row) -> usageWrite(TAKEN_PREFIX + key, row.value, UsageTaken.serializer()) } +
            freeze.reports.map { usageWrite(REPORT_PREFIX + it.name, it, UsageWindow.serializer()) },
    )
}

/** Creates the commit that deletes the row of a window that the report interface accepted. */
private fun deleteReportCommit(effect: UsageReporterEffect.DeleteReport): TableCommit {
    val key = REPORT_PREFIX + effect.report.value.name
    return TableCommit(
        conditions = listOf(usageCondition(key, effect.report.version)),
        writes = listOf(TableWrite(key = key, delete = true)),
    )
}
