package org.mulberrypin.decisions.billing

/** An input of [decideUsageCounter]. Responses carry the number of the attempt that they belong to. */
public sealed interface UsageCounterEvent {
    /**
     * The usage of a request was measured.
     *
     * @property wallMilliseconds time in milliseconds since the Unix epoch, which selects the window
     */
    public data class Counted(
        val usage: UsageEvent,
        val wallMilliseconds: Long,
    ) : UsageCounterEvent

    /** The interval between two checkpoints has passed. */
    public data object CheckpointDue : UsageCounterEvent

    /** The interval between two copies of unwritten usage has passed. */
    public data object CopyDue : UsageCounterEvent

    /** No peer has confirmed the last copy. */
    public data object CopyFailed : UsageCounterEvent

    /** The checkpoint was written. */
    public data class CheckpointWritten(
        val attempt: Long,
    ) : UsageCounterEvent

    /** The checkpoint was not written because its row has version [rowVersion] instead of the expected one. */
    public data class CheckpointConflicted(
        val attempt: Long,
        val rowVersion: Long,
    ) : UsageCounterEvent

    /** The write failed or its result is unknown. */
    public data class CheckpointFailed(
        val attempt: Long,
    ) : UsageCounterEvent
}
