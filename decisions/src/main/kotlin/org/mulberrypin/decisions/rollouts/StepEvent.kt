package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupResult

/** What the decisions about steps are told. */
public sealed interface StepEvent {
    /** A trainer calls, directly or through another instance. */
    public data class Asked(
        val ask: TrainerAsk,
    ) : StepEvent

    /** The rows of a step were read for the call [ask]; [view] is null when the table service did not answer. */
    public data class ViewRead(
        val key: StepKey,
        val view: StepView?,
        val ask: Long = 0,
    ) : StepEvent

    /** An opening ended; [opened] is set exactly when it was committed and everything was read. */
    public data class OpeningEnded(
        val key: StepKey,
        val result: StoreResult,
        val opened: StepOpened?,
    ) : StepEvent

    /** A write ended. */
    public data class WriteEnded(
        val write: StepWrite,
        val result: StoreResult,
    ) : StepEvent

    /** An attempt at a group ended; [result] is null when the instance was lost. */
    public data class GroupEnded(
        val key: StepKey,
        val fencingNumber: Long,
        val group: String,
        val attempt: Int,
        val result: GroupResult?,
    ) : StepEvent

    /** The holder answered a call that was passed on; [answer] is null when it was not reached. */
    public data class PassOnEnded(
        val ask: Long,
        val answer: BatchAnswer?,
    ) : StepEvent

    /** The instances that can generate groups, with their incarnations. */
    public data class InstancesChanged(
        val instances: Map<String, Long>,
    ) : StepEvent

    /** The keys in force, as pairs of team and key name. */
    public data class KeysChanged(
        val keys: Set<Pair<String, String>>,
    ) : StepEvent

    /** This instance starts to shut down. */
    public data object Drain : StepEvent

    /** Time has passed. */
    public data object Tick : StepEvent
}
