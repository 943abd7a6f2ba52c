/**
 * Counts usage, persists it in the table service and, while this instance holds the usage lease, reports usage windows.
 *
 * The billing duty makes the decisions. The store duty writes checkpoints and merges copies received from peers. The
 * report duty reads, freezes and sends windows; it is separate so that a slow report interface does not delay the
 * checkpoints.
 *
 * If the billing duty's ring is full, new usage is not counted, and the function that records it returns false; the
 * result of a step is dropped, and the step is treated as lost. A step that does not fit into the ring of the store or
 * report duty is treated as failed and retried.
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

/** Name of the lease that an instance must hold to report usage windows. */
public const val USAGE_LEASE: String = "lease/usage"

/**
 * Operations on the billing duties.
 *
 * @property record counts the usage of a request; returns false if the ring is full, in which case the usage is not
 *   counted and the caller must retry. Thread-safe; never blocks.
 * @property copyUsage stores a copy of a peer's usage
 * @property peersChanged sets the list of instances
 * @property drain writes all unwritten usage immediately; usage may still be recorded afterwards
 * @property stop writes all unwritten usage, waiting at most [STOP_TIMEOUT_MILLISECONDS] for it, and stops the duties
 */
public data class BillingPart(
    val record: (UsageEvent) -> Boolean,
    val copyUsage: PeerHandler<UsageCheckpoint, UsageCopyAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val drain: () -> Unit,
    val stop: () -> Unit,
)

/** Starts the duties that count, persist and report usage. */
public fun startBillingPart(
    context: EntryContext,
    leases: LeasePart,
    copyUsage: PeerCall<UsageCheckpoint, UsageCopyAnswer>,
): BillingPart {
    val events = boundedRing<BillingEvent>("billing", EVENT_RING_CAPACITY)
    val storeSteps = boundedRing<BillingStoreStep>("billing store", STEP_RING_CAPACITY)
    val reportSteps = boundedRing<BillingReportStep>("billing reports", STEP_RING_CAPACITY)
    val postEvent = { event: BillingEvent ->
        events.offer(event)
        Unit
    }
    val billingDuty =
        BillingDuty(
            context,
            leases.currentLease,
            BillingOutputs(storeSteps::offer, reportSteps::offer, copyUsage, postEvent),
        )
    val store = BillingStore(context.platform.tables, postEvent)
    val reporter = BillingReporter(context, leases.currentLease, postEvent)
    val tickMilliseconds = minOf(MAX_TICK_INTERVAL_MILLISECONDS, context.settings.usage.checkpointMilliseconds)
    val duties = listOf(
        startDuty("billing", events, context.clock, tickMilliseconds, billingDuty::handle, billingDuty::tick),
        startDuty("billing-store", storeSteps, context.clock, tickMilliseconds, store::execute) {},
        startDuty("billing-reports", reportSteps, context.clock, tickMilliseconds, reporter::execute) {},
    )
    return BillingPart(
        record = { events.offer(BillingEvent.Recorded(it, context.clock.readWallMilliseconds())) },
        copyUsage = { copy, onOutcome -> offerCopy(context, events, BillingEvent.CopyReceived(copy, onOutcome)) },
        peersChanged = { postEvent(BillingEvent.PeersChanged(it)) },
        drain = { postEvent(BillingEvent.Drain) },
        stop = {
            postEvent(BillingEvent.Drain)
            billingDuty.awaitWritten(STOP_TIMEOUT_MILLISECONDS)
            duties.forEach { it.stop(STOP_TIMEOUT_MILLISECONDS) }
        },
    )
}

private const val EVENT_RING_CAPACITY = 8_192
private const val STEP_RING_CAPACITY = 256
private const val MAX_TICK_INTERVAL_MILLISECONDS = 1_000L

/** Timeout for each step of stopping the billing duties, in milliseconds. */
public const val STOP_TIMEOUT_MILLISECONDS: Long = 5_000
