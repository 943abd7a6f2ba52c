package org.mulberrypin.decisions.leases

/** Inputs of the lease decisions; responses carry the number of the attempt that they belong to. */
public sealed interface LeaseEvent {
    /** Timer tick. */
    public data object Tick : LeaseEvent

    /** The number of instances that contend for the lease, this one included. */
    public data class ContendersCounted(
        val contenders: Int,
    ) : LeaseEvent

    /** The process releases the lease and stops contending for it. */
    public data object Release : LeaseEvent

    /** The row was read. */
    public data class RowRead(
        val attempt: Long,
        val row: LeaseRow,
    ) : LeaseEvent

    /** Reading the row failed. */
    public data class ReadFailed(
        val attempt: Long,
    ) : LeaseEvent

    /** The row was written. */
    public data class Written(
        val attempt: Long,
    ) : LeaseEvent

    /** The row was not written because its version has changed; [row] is the current row. */
    public data class WriteConflicted(
        val attempt: Long,
        val row: LeaseRow,
    ) : LeaseEvent

    /** The row was certainly not written, for another reason than a changed version. */
    public data class WriteNotRun(
        val attempt: Long,
    ) : LeaseEvent

    /** The outcome of the write is unknown. */
    public data class WriteUnknown(
        val attempt: Long,
    ) : LeaseEvent
}
