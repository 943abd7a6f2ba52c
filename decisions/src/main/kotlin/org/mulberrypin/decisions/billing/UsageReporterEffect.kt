package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageWindow

/** An action that the billing thread performs for [decideUsageReporter]. */
public sealed interface UsageReporterEffect {
    public val attempt: Long

    /** Read the rows of the ledger, the rows of usage taken before the checkpoints. */
    public data class Load(
        override val attempt: Long,
    ) : UsageReporterEffect

    /** Write the rows that freeze a window. */
    public data class Freeze(
        override val attempt: Long,
        val freeze: UsageFreeze,
    ) : UsageReporterEffect

    /**
     * Send a report if, checked immediately before, the lease with its fencing number outlasts the send timeout.
     */
    public data class Send(
        override val attempt: Long,
        val window: UsageWindow,
        val fencingNumber: Long,
    ) : UsageReporterEffect

    /** Delete the row of a report that the platform has accepted. */
    public data class DeleteReport(
        override val attempt: Long,
        val report: UsageRow<UsageWindow>,
    ) : UsageReporterEffect
}
