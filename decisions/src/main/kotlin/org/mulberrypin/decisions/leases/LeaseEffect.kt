package org.mulberrypin.decisions.leases

import org.mulberrypin.schema.generated.LeaseRecord

/** What the duty for leases carries out. */
public sealed interface LeaseEffect {
    /** Read the row of the lease. */
    public data class ReadRow(
        val name: String,
        val attempt: Long,
    ) : LeaseEffect

    /**
     * Write the row of the lease if it still has the expected version.
     *
     * @property renewal true when the writer holds the lease already
     */
    public data class WriteRow(
        val attempt: Long,
        val expectedVersion: Long,
        val record: LeaseRecord,
        val renewal: Boolean,
    ) : LeaseEffect

    /** The process became the holder under a new fencing number. */
    public data class Taken(
        val hold: LeaseHold,
    ) : LeaseEffect

    /** Another process holds the lease, or nobody does. */
    public data class Lost(
        val hold: LeaseHold,
    ) : LeaseEffect
}
