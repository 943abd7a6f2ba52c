package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint

/** An action that the billing thread performs for [decideUsageCounter]. */
public sealed interface UsageCounterEffect {
    /** Write the checkpoint on condition that its row still has the expected version. */
    public data class WriteCheckpoint(
        val attempt: Long,
        val checkpoint: UsageCheckpoint,
        val expectedVersion: Long,
    ) : UsageCounterEffect

    /** Send a peer all sums that changed since the last written checkpoint, as totals and not as differences. */
    public data class CopyCheckpoint(
        val checkpoint: UsageCheckpoint,
    ) : UsageCounterEffect
}
