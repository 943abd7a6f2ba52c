package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEffect
import org.mulberrypin.decisions.billing.UsageCopiesEvent
import org.mulberrypin.decisions.billing.UsageCopiesState
import org.mulberrypin.decisions.billing.UsageCounterEffect
import org.mulberrypin.decisions.billing.UsageCounterEvent
import org.mulberrypin.decisions.billing.UsageReporterEvent
import org.mulberrypin.decisions.billing.chooseUsagePeer
import org.mulberrypin.decisions.billing.decideUsageCopies
import org.mulberrypin.decisions.billing.decideUsageCounter
import org.mulberrypin.decisions.billing.decideUsageReporter
import org.mulberrypin.decisions.billing.isWritten
import org.mulberrypin.decisions.billing.usageCounterState
import org.mulberrypin.decisions.billing.usageInstanceKey
import org.mulberrypin.decisions.billing.usageReporterState
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.EntryContext
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Keeps the states of counter, copies and reporter, feeds their decisions and hands out the effects. */
internal class BillingShell(
    private val context: EntryContext,
    private val holding: (String) -> LeaseHold?,
    private val outlets: BillingOutlets,
) {
    private var counter = usageCounterState(usageTerms(context))
    private var copies = UsageCopiesState(QUIET_MILLISECONDS, COPY_LIMIT)
    private var reporter = usageReporterState(usageReportTerms(context.settings))
    private var instances = emptyList<InstanceEntry>()
    private var copyFailures = 0
    private var nextCheckpointMilliseconds = 0L
    private var draining = false
    private val written = CountDownLatch(1)

    fun awaitWritten(waitMilliseconds: Long) {
        written.await(waitMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun handle(event: BillingEvent) {
        when (event) {
            is BillingEvent.Used -> count(UsageCounterEvent.Counted(event.usage, event.wallMilliseconds))
            is BillingEvent.CounterAnswer -> count(event.event)
            is BillingEvent.CopiesAnswer -> keep(event.event)
            is BillingEvent.ReporterAnswer -> report(event.event)
            is BillingEvent.CopyReceived -> takeCopy(event)
            is BillingEvent.CopyRefused -> askNextPeer()
            is BillingEvent.PeersChanged -> instances = event.instances
            BillingEvent.Drain -> drain()
        }
        if (draining && counter.isWritten()) written.countDown()
    }

    fun tick() {
        val now = context.clock.readMilliseconds()
        if (draining || now >= nextCheckpointMilliseconds) {
            nextCheckpointMilliseconds = now + context.settings.usage.checkpointMilliseconds
            count(UsageCounterEvent.CheckpointDue)
        }
        count(UsageCounterEvent.CopyDue)
        keep(UsageCopiesEvent.Tick)
        continueReport()
    }

    private fun drain() {
        draining = true
        count(UsageCounterEvent.CheckpointDue)
    }

    private fun count(event: UsageCounterEvent) {
        val transition = decideUsageCounter(counter, event, context.clock.readMilliseconds())
        counter = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is UsageCounterEffect.WriteCheckpoint -> write(effect)
                is UsageCounterEffect.CopyCheckpoint -> copyToPeer(effect.checkpoint)
            }
        }
    }

    private fun write(effect: UsageCounterEffect.WriteCheckpoint) {
        val offered = outlets.store(BillingStoreStep.Checkpoint(effect))
        if (!offered) count(UsageCounterEvent.CheckpointFailed(effect.attempt))
    }

    private fun copyToPeer(checkpoint: UsageCheckpoint) {
        val peer = chooseUsagePeer(ownEntry(context.settings.instance), instances, copyFailures) ?: return
        outlets.copyUsage(peer.peerAddress, COPY_TIMEOUT_MILLISECONDS, checkpoint) { outcome ->
            val taken = outcome is Outcome.Success && outcome.value.sequence >= checkpoint.sequence
            if (!taken) outlets.answer(BillingEvent.CopyRefused(peer.peerAddress))
        }
    }

    private fun askNextPeer() {
        copyFailures += 1
        count(UsageCounterEvent.CopyFailed)
    }

    private fun takeCopy(event: BillingEvent.CopyReceived) {
        keep(UsageCopiesEvent.Received(event.checkpoint))
        val kept = copies.copies[usageInstanceKey(event.checkpoint)]?.checkpoint?.sequence ?: 0
        event.onOutcome(Outcome.Success(UsageCopyAnswer(kept)))
    }

    private fun keep(event: UsageCopiesEvent) {
        val transition = decideUsageCopies(copies, event, context.clock.readMilliseconds())
        copies = transition.state
        transition.effects.forEach(::handCopyStep)
    }

    /** A step that finds the ring full is begun again once the copy has been quiet for as long as before. */
    private fun handCopyStep(effect: UsageCopiesEffect) {
        outlets.store(BillingStoreStep.Copy(effect))
    }

    private fun report(event: UsageReporterEvent) {
        decideReport(event)
        continueReport()
    }

    private fun continueReport() {
        decideReport(UsageReporterEvent.Tick(holding(USAGE_LEASE), context.clock.readWallMilliseconds()))
    }

    private fun decideReport(event: UsageReporterEvent) {
        val transition = decideUsageReporter(reporter, event, context.clock.readMilliseconds())
        reporter = transition.state
        transition.effects.forEach { effect ->
            val offered = outlets.report(BillingReportStep(effect))
            if (!offered) decideReport(UsageReporterEvent.Failed(effect.attempt))
        }
    }

    private companion object {
        private const val QUIET_MILLISECONDS = 5_000L
        private const val COPY_LIMIT = 64
        private const val COPY_TIMEOUT_MILLISECONDS = 2_000L
    }
}
