package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEvent
import org.mulberrypin.decisions.billing.UsageCounterEvent
import org.mulberrypin.decisions.billing.UsageEvent
import org.mulberrypin.decisions.billing.UsageReporterEvent
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer

/** An event in the ring of the billing duty. */
internal sealed interface BillingEvent {
    data class Recorded(
        val usage: UsageEvent,
        val wallMilliseconds: Long,
    ) : BillingEvent

    data class CopyReceived(
        val checkpoint: UsageCheckpoint,
        val onOutcome: (Outcome<UsageCopyAnswer>) -> Unit,
    ) : BillingEvent

    /** The peer at [address] did not confirm the last copy. */
    data class CopyUnconfirmed(
        val address: String,
    ) : BillingEvent

    data class PeersChanged(
        val instances: List<InstanceEntry>,
    ) : BillingEvent

    data class CounterResult(
        val event: UsageCounterEvent,
    ) : BillingEvent

    data class CopiesResult(
        val event: UsageCopiesEvent,
    ) : BillingEvent

    data class ReporterResult(
        val event: UsageReporterEvent,
    ) : BillingEvent

    data object Drain : BillingEvent
}
