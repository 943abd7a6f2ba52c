package org.mulberrypin.service.billing

import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.peers.PeerCall

/**
 * Where the duty for billing hands its effects; none of these blocks, and false means that a ring is full.
 *
 * @property answer offers an event to the duty's own ring
 */
internal data class BillingOutlets(
    val store: (BillingStoreStep) -> Boolean,
    val report: (BillingReportStep) -> Boolean,
    val copyUsage: PeerCall<UsageCheckpoint, UsageCopyAnswer>,
    val answer: (BillingEvent) -> Unit,
)
