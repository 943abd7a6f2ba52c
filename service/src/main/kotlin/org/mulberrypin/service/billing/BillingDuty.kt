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
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.EntryContext
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Holds the states of the usage counter, copies and reporter, runs their decisions and dispatches the effects. */
internal class BillingDuty(
    private val context: EntryContext,
    private val currentLease: (String) -> HeldLease?,
    private val outputs: BillingOutputs,
) {
    private var counter = usageCounterState(usageCounterLimits(context))
    private var copies = UsageCopiesState(QUIET_PERIOD_MILLISECONDS, MAX_COPIES)
    private var reporter = usageReporterState(usageReportLimits(context.settings))
    private var instances = emptyList<InstanceEntry>()
    private var failedCopies = 0
    private var nextCheckpointMilliseconds = 0L
    private var draining = false
    private val allWritten = CountDownLatch(1)

    /** Waits until all usage is written after a drain, or until the timeout expires. */
    fun awaitWritten(timeoutMilliseconds: Long) {
        allWritten.await(timeoutMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun handle(event: BillingEvent) {
        when (event) {
            is BillingEvent.Recorded -> updateCounter(UsageCounterEvent.Counted(event.usage, event.wallMilliseconds))
            is BillingEvent.CounterResult -> updateCounter(event.event)
            is BillingEvent.CopiesResult -> updateCopies(event.event)
            is BillingEvent.ReporterResult -> updateReporter(event.event)
            is BillingEvent.CopyReceived -> receiveCopy(event)
            is BillingEvent.CopyUnconfirmed -> retryWithNextPeer()
            is BillingEvent.PeersChanged -> instances = event.instances
            BillingEvent.Drain -> drain()
        }
        if (draining && counter.isWritten()) allWritten.countDown()
    }

    fun tick() {
        val nowMilliseconds = context.clock.readMilliseconds()
        if (draining || nowMilliseconds >= nextCheckpointMilliseconds) {
            nextCheckpointMilliseconds = nowMilliseconds + context.settings.usage.checkpointMilliseconds
            updateCounter(UsageCounterEvent.CheckpointDue)
        }
        updateCounter(UsageCounterEvent.CopyDue)
        updateCopies(UsageCopiesEvent.Tick)
        tickReporter()
    }

    private fun drain() {
        draining = true
        updateCounter(UsageCounterEvent.CheckpointDue)
    }

    private fun updateCounter(event: UsageCounterEvent) {
        val transition = decideUsageCounter(counter, event, context.clock.readMilliseconds())
        counter = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is UsageCounterEffect.WriteCheckpoint -> enqueueCheckpoint(effect)
                is UsageCounterEffect.CopyCheckpoint -> copyToPeer(effect.checkpoint)
            }
        }
    }

    private fun enqueueCheckpoint(effect: UsageCounterEffect.WriteCheckpoint) {
        val isOffered = outputs.store(BillingStoreStep.Checkpoint(effect))
        if (!isOffered) updateCounter(UsageCounterEvent.CheckpointFailed(effect.attempt))
    }

    private fun copyToPeer(checkpoint: UsageCheckpoint) {
        val peer = chooseUsagePeer(ownEntry(context.settings.instance), instances, failedCopies) ?: return
        outputs.copyUsage(peer.peerAddress, COPY_TIMEOUT_MILLISECONDS, checkpoint) { outcome ->
            val isConfirmed = outcome is Outcome.Success && outcome.value.sequence >= checkpoint.sequence
            if (!isConfirmed) outputs.postEvent(BillingEvent.CopyUnconfirmed(peer.peerAddress))
        }
    }

    private fun retryWithNextPeer() {
        failedCopies += 1
        updateCounter(UsageCounterEvent.CopyFailed)
    }

    private fun receiveCopy(event: BillingEvent.CopyReceived) {
        updateCopies(UsageCopiesEvent.Received(event.checkpoint))
        val storedSequence = copies.copies[usageInstanceKey(event.checkpoint)]?.checkpoint?.sequence ?: 0
        event.onOutcome(Outcome.Success(UsageCopyAnswer(storedSequence)))
    }

    private fun updateCopies(event: UsageCopiesEvent) {
        val transition = decideUsageCopies(copies, event, context.clock.readMilliseconds())
        copies = transition.state
        transition.effects.forEach(::enqueueCopyStep)
    }

    /** A step that does not fit into the ring is retried once the copy has been unchanged for another quiet period. */
    private fun enqueueCopyStep(effect: UsageCopiesEffect) {
        outputs.store(BillingStoreStep.Copy(effect))
    }

    private fun updateReporter(event: UsageReporterEvent) {
        decideReporter(event)
        tickReporter()
    }

    private fun tickReporter() {
        decideReporter(UsageReporterEvent.Tick(currentLease(USAGE_LEASE), context.clock.readWallMilliseconds()))
    }

    private fun decideReporter(event: UsageReporterEvent) {
        val transition = decideUsageReporter(reporter, event, context.clock.readMilliseconds())
        reporter = transition.state
        transition.effects.forEach { effect ->
            val isOffered = outputs.report(BillingReportStep(effect))
            if (!isOffered) decideReporter(UsageReporterEvent.StepFailed(effect.attempt))
        }
    }

    private companion object {
        private const val QUIET_PERIOD_MILLISECONDS = 5_000L
        private const val MAX_COPIES = 64
        private const val COPY_TIMEOUT_MILLISECONDS = 2_000L
    }
}
