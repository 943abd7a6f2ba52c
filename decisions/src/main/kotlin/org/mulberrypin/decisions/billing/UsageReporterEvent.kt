package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.leases.LeaseHold

/** What happens to the reporter of usage. Answers name the attempt that they belong to. */
public sealed interface UsageReporterEvent {
    /**
     * Time has passed.
     *
     * @property lease the lease for reports, or null when this process does not hold it
     * @property wallMilliseconds milliseconds since the Unix epoch
     */
    public data class Tick(
        val lease: LeaseHold?,
        val wallMilliseconds: Long,
    ) : UsageReporterEvent

    /** The rows were read. */
    public data class Loaded(
        val attempt: Long,
        val ledger: UsageLedger,
    ) : UsageReporterEvent

    /** The step is done: the window is frozen, the report accepted, or the confirmation written. */
    public data class Done(
        val attempt: Long,
    ) : UsageReporterEvent

    /** The step failed, or it is unknown whether it took effect. */
    public data class Failed(
        val attempt: Long,
    ) : UsageReporterEvent
}
