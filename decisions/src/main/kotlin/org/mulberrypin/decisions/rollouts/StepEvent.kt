package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupResult

/** Events that the step decisions handle. */
public sealed interface StepEvent {
    /** A call from a trainer arrived, directly or forwarded by another instance. */
    public data class CallReceived(
        val call: TrainerCall,
    ) : StepEvent

    /** A read of a step's rows on behalf of the call [callNumber] ended; [snapshot] is null when the read failed. */
    public data class SnapshotRead(
        val key: StepKey,
        val snapshot: StepSnapshot?,
        val callNumber: Long = 0,
    ) : StepEvent

    /** The commit of an opening ended; [objects] is set exactly if it committed and all objects were read. */
    public data class OpeningEnded(
        val key: StepKey,
        val result: StoreResult,
        val objects: StepObjects?,
    ) : StepEvent

    /** A write of a step record ended. */
    public data class WriteEnded(
        val write: StepWrite,
        val result: StoreResult,
    ) : StepEvent

    /** An attempt at a group ended; [result] is null when the call to its instance failed. */
    public data class GroupEnded(
        val key: StepKey,
        val fencingNumber: Long,
        val group: String,
        val attempt: Int,
        val result: GroupResult?,
    ) : StepEvent

    /** A call forwarded to the holder ended; [answer] is null when the holder did not answer. */
    public data class ForwardEnded(
        val callNumber: Long,
        val answer: BatchAnswer?,
    ) : StepEvent

    /** The list of instances that can generate groups changed; values are their incarnations. */
    public data class InstancesChanged(
        val instances: Map<String, Long>,
    ) : StepEvent

    /** The set of valid API keys changed; each is a pair of team and key name. */
    public data class KeysChanged(
        val keys: Set<Pair<String, String>>,
    ) : StepEvent

    /** This instance begins to shut down and releases its steps. */
    public data object Drain : StepEvent

    /** Periodic event that triggers checks that depend on time. */
    public data object Tick : StepEvent
}
