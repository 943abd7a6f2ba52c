package org.mulberrypin.decisions.leases

/** What happens to a process that contends for a lease. Answers name the attempt that they belong to. */
public sealed interface LeaseEvent {
    /** Time has passed. */
    public data object Tick : LeaseEvent

    /** The process gives the lease up and contends for it no more. */
    public data object Release : LeaseEvent

    /** The row was read. */
    public data class RowRead(
        val attempt: Long,
        val row: LeaseRow,
    ) : LeaseEvent

    /** The row could not be read. */
    public data class ReadFailed(
        val attempt: Long,
    ) : LeaseEvent

    /** The row was written. */
    public data class Written(
        val attempt: Long,
    ) : LeaseEvent

    /** The row was not written, because it has changed. */
    public data class WriteConflicted(
        val attempt: Long,
        val row: LeaseRow,
    ) : LeaseEvent

    /** The row was not written, and not because it has changed. */
    public data class WriteNotRun(
        val attempt: Long,
    ) : LeaseEvent

    /** The row may have been written. */
    public data class WriteUnknown(
        val attempt: Long,
    ) : LeaseEvent
}
