package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEvent
import org.mulberrypin.decisions.billing.UsageCounterEvent
import org.mulberrypin.decisions.billing.UsageEvent
import org.mulberrypin.decisions.billing.UsageReporterEvent
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer

/** What the duty for billing takes from its ring. */
internal sealed interface BillingEvent {
    data class Used(
        val usage: UsageEvent,
        val wallMilliseconds: Long,
    ) : BillingEvent

    data class CopyReceived(
        val checkpoint: UsageCheckpoint,
        val onOutcome: (Outcome<UsageCopyAnswer>) -> Unit,
    ) : BillingEvent

    /** The peer with an address did not take the last copy. */
    data class CopyRefused(
        val address: String,
    ) : BillingEvent

    data class PeersChanged(
        val instances: List<InstanceEntry>,
    ) : BillingEvent

    data class CounterAnswer(
        val event: UsageCounterEvent,
    ) : BillingEvent

    data class CopiesAnswer(
        val event: UsageCopiesEvent,
    ) : BillingEvent

    data class ReporterAnswer(
        val event: UsageReporterEvent,
    ) : BillingEvent

    data object Drain : BillingEvent
}
