package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint

/** What the duty for billing carries out for the counter. */
public sealed interface UsageCounterEffect {
    /** Write the checkpoint if its row still has the expected version. */
    public data class WriteCheckpoint(
        val attempt: Long,
        val checkpoint: UsageCheckpoint,
        val expectedVersion: Long,
    ) : UsageCounterEffect

    /** Give a peer the sums that changed since the last checkpoint known to be written, each of them whole. */
    public data class CopyCheckpoint(
        val checkpoint: UsageCheckpoint,
    ) : UsageCounterEffect
}
