package org.mulberrypin.service.billing

import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.service.EntryContext

/** Offers a peer's copy to the billing duty. If the ring is full, the fault makes the peer try another instance. */
internal fun offerCopy(
    context: EntryContext,
    events: BoundedRing<BillingEvent>,
    received: BillingEvent.CopyReceived,
) {
    if (events.offer(received)) return
    val fault = Fault("copy usage", context.settings.instance.name, FaultKind.NOT_RUN, "The billing ring is full.")
    received.onOutcome(Outcome.Failure(fault))
}
