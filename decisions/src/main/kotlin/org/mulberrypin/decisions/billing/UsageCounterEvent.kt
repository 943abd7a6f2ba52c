package org.mulberrypin.decisions.billing

/** What happens to the counter of an instance. Answers name the attempt that they belong to. */
public sealed interface UsageCounterEvent {
    /** A request was used; the time is the wall clock of the instance. */
    public data class Counted(
        val usage: UsageEvent,
        val wallMilliseconds: Long,
    ) : UsageCounterEvent

    /** It is time to write a checkpoint. */
    public data object CheckpointDue : UsageCounterEvent

    /** It is time to give a peer a copy of what is not written yet. */
    public data object CopyDue : UsageCounterEvent

    /** No peer is known to have the last copy. */
    public data object CopyFailed : UsageCounterEvent

    /** The checkpoint was written. */
    public data class CheckpointWritten(
        val attempt: Long,
    ) : UsageCounterEvent

    /** The checkpoint was not written, because the row has the stated version. */
    public data class CheckpointConflicted(
        val attempt: Long,
        val rowVersion: Long,
    ) : UsageCounterEvent

    /** The checkpoint was not written, or it is unknown whether it was. */
    public data class CheckpointFailed(
        val attempt: Long,
    ) : UsageCounterEvent
}
