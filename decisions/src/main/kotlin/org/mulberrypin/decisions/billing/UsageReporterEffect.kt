package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageWindow

/** What the duty for billing carries out for the reporter. */
public sealed interface UsageReporterEffect {
    public val attempt: Long

    /** Read the rows of the ledger, those of usage taken first. */
    public data class Load(
        override val attempt: Long,
    ) : UsageReporterEffect

    /** Write the rows that freeze a window. */
    public data class Freeze(
        override val attempt: Long,
        val freeze: UsageFreeze,
    ) : UsageReporterEffect

    /**
     * Send the frozen window, if the lease under the fencing number still covers the longest send immediately before.
     */
    public data class Send(
        override val attempt: Long,
        val window: UsageWindow,
        val fencingNumber: Long,
    ) : UsageReporterEffect

    /** Delete the row of a report that the platform has confirmed. */
    public data class Confirm(
        override val attempt: Long,
        val report: UsageRow<UsageWindow>,
    ) : UsageReporterEffect
}
