package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.leases.HeldLease

/** An input of [decideUsageReporter]. Responses carry the number of the step that they belong to, in attempt. */
public sealed interface UsageReporterEvent {
    /**
     * Periodic event that starts due steps.
     *
     * @property lease the lease for reports, or null when this process does not hold it
     * @property wallMilliseconds wall-clock time in milliseconds since the Unix epoch
     */
    public data class Tick(
        val lease: HeldLease?,
        val wallMilliseconds: Long,
    ) : UsageReporterEvent

    /** The rows of the ledger were read. */
    public data class Loaded(
        val attempt: Long,
        val ledger: UsageLedger,
    ) : UsageReporterEvent

    /** The step succeeded: the window is frozen, the report accepted by the platform, or its row deleted. */
    public data class StepSucceeded(
        val attempt: Long,
    ) : UsageReporterEvent

    /** The step failed or its result is unknown. */
    public data class StepFailed(
        val attempt: Long,
    ) : UsageReporterEvent
}
