/**
 * The part of an entry instance that counts usage, makes it last and, while it holds the lease for it, reports windows.
 *
 * One duty decides. One store duty writes checkpoints and merges copies of peers; another reads, freezes and sends
 * windows, so that a slow report interface delays no checkpoint. Rings: usage that finds the duty's ring full is not
 * counted, and the caller is told so; an answer that finds it full is dropped and its step counts as lost; a step that
 * finds a store ring full counts as failed and is repeated.
 */
package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageEvent
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.leases.LeasePart
import org.mulberrypin.service.peers.PeerCall
import org.mulberrypin.service.peers.PeerHandler

/** Name of the lease under which windows are reported. */
public const val USAGE_LEASE: String = "lease/usage"

/**
 * @property record counts the usage of a request; false means that the ring is full and the usage is not counted, so
 * that the caller offers it again. Safe on any thread, never blocks.
 * @property copyUsage takes a copy of a peer's usage
 * @property peersChanged tells which instances there are
 * @property drain writes what is not written yet at once; usage may still be recorded afterwards
 * @property stop writes what is not written yet, waits for it no longer than [STOP_WAIT_MILLISECONDS], and ends the
 * duties
 */
public data class BillingPart(
    val record: (UsageEvent) -> Boolean,
    val copyUsage: PeerHandler<UsageCheckpoint, UsageCopyAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val drain: () -> Unit,
    val stop: () -> Unit,
)

/** Starts to count and report usage. */
public fun startBillingPart(
    context: EntryContext,
    leases: LeasePart,
    copyUsage: PeerCall<UsageCheckpoint, UsageCopyAnswer>,
): BillingPart {
    val events = boundedRing<BillingEvent>("billing", EVENT_CAPACITY)
    val checkpoints = boundedRing<BillingStoreStep>("billing store", STORE_CAPACITY)
    val reports = boundedRing<BillingReportStep>("billing reports", STORE_CAPACITY)
    val answer = { event: BillingEvent ->
        events.offer(event)
        Unit
    }
    val shell =
        BillingShell(context, leases.holding, BillingOutlets(checkpoints::offer, reports::offer, copyUsage, answer))
    val store = BillingStore(context.platform.tables, answer)
    val reporter = BillingReporter(context, leases.holding, answer)
    val tick = minOf(LONGEST_TICK_MILLISECONDS, context.settings.usage.checkpointMilliseconds)
    val duties = listOf(
        startDuty("billing", events, context.clock, tick, shell::handle, shell::tick),
        startDuty("billing-store", checkpoints, context.clock, tick, store::carryOut) {},
        startDuty("billing-reports", reports, context.clock, tick, reporter::carryOut) {},
    )
    return BillingPart(
        record = { events.offer(BillingEvent.Used(it, context.clock.readWallMilliseconds())) },
        copyUsage = { copy, onOutcome -> takeCopy(context, events, BillingEvent.CopyReceived(copy, onOutcome)) },
        peersChanged = { answer(BillingEvent.PeersChanged(it)) },
        drain = { answer(BillingEvent.Drain) },
        stop = {
            answer(BillingEvent.Drain)
            shell.awaitWritten(STOP_WAIT_MILLISECONDS)
            duties.forEach { it.stop(STOP_WAIT_MILLISECONDS) }
        },
    )
}

private const val EVENT_CAPACITY = 8_192
private const val STORE_CAPACITY = 256
private const val LONGEST_TICK_MILLISECONDS = 1_000L

/** Longest wait for each step of a stop. */
public const val STOP_WAIT_MILLISECONDS: Long = 5_000
