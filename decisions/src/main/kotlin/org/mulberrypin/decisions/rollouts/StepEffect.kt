package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.LeaseRecord

/** Effects that the step decisions request. */
public sealed interface StepEffect {
    /** Answers the call of a trainer with the number [callNumber]. */
    public data class Answer(
        val callNumber: Long,
        val answer: BatchAnswer,
    ) : StepEffect

    /**
     * Reads the rows of a step on behalf of the call [callNumber], or of none if it is 0; results in
     * [StepEvent.SnapshotRead].
     */
    public data class ReadSnapshot(
        val key: StepKey,
        val callNumber: Long = 0,
    ) : StepEffect

    /** Commits this instance as the holder of a step; results in [StepEvent.OpeningEnded]. */
    public data class Open(
        val opening: StepOpenCommit,
    ) : StepEffect

    /** Writes the record of a held step; results in [StepEvent.WriteEnded]. */
    public data class Write(
        val write: StepWrite,
    ) : StepEffect

    /** Writes the heartbeat of this instance; the outcome is not reported. */
    public data class Renew(
        val heartbeat: LeaseRecord,
    ) : StepEffect

    /** Releases a lease, so that another instance can take the step over immediately; the outcome is not reported. */
    public data class Release(
        val key: StepKey,
        val lease: Versioned<LeaseRecord>,
    ) : StepEffect

    /** Forwards the call [callNumber] to the holder of the step; results in [StepEvent.ForwardEnded]. */
    public data class ForwardCall(
        val callNumber: Long,
        val instance: String,
        val request: BatchRequest,
    ) : StepEffect

    /**
     * Sends an assignment that starts a group, raises its minimum weight version or cancels it; a start results in
     * [StepEvent.GroupEnded].
     */
    public data class AssignGroup(
        val instance: String,
        val assignment: GroupAssignment,
    ) : StepEffect

    /** Records the reason for a decision about a step, or about one of its groups if [group] is not empty. */
    public data class Explain(
        val key: StepKey,
        val group: String,
        val peer: String,
        val reason: String,
    ) : StepEffect
}
