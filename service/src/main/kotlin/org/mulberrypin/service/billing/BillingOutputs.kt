package org.mulberrypin.service.billing

import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.peers.PeerCall

/**
 * Callbacks that pass the effects of the billing duty to other duties and to peers. None of them blocks; false means
 * that the ring is full.
 *
 * @property store offers a step to the store duty
 * @property report offers a step to the report duty
 * @property copyUsage sends a copy of this instance's usage to a peer
 * @property postEvent offers an event to the billing duty's own ring
 */
internal data class BillingOutputs(
    val store: (BillingStoreStep) -> Boolean,
    val report: (BillingReportStep) -> Boolean,
    val copyUsage: PeerCall<UsageCheckpoint, UsageCopyAnswer>,
    val postEvent: (BillingEvent) -> Unit,
)
