package org.mulberrypin.decisions.leases

import org.mulberrypin.schema.generated.LeaseRecord

/** Side effects requested by the lease decisions. */
public sealed interface LeaseEffect {
    /** Read the row of the lease. */
    public data class ReadRow(
        val name: String,
        val attempt: Long,
    ) : LeaseEffect

    /**
     * Write the row of the lease if it still has the expected version.
     *
     * @property renewal true if this process already holds the lease
     */
    public data class WriteRow(
        val attempt: Long,
        val expectedVersion: Long,
        val record: LeaseRecord,
        val renewal: Boolean,
    ) : LeaseEffect

    /** This process became the holder with a new fencing number. */
    public data class Acquired(
        val hold: HeldLease,
    ) : LeaseEffect

    /** This process no longer holds the lease. */
    public data class Lost(
        val hold: HeldLease,
    ) : LeaseEffect
}
