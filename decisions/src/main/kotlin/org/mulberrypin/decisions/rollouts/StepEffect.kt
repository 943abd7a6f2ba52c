package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.LeaseRecord

/** What the decisions about steps ask to be done. */
public sealed interface StepEffect {
    /** Answers a call. */
    public data class Answer(
        val ask: Long,
        val answer: BatchAnswer,
    ) : StepEffect

    /** Reads the rows of a step, for the call [ask] or, with 0, for no call; ends in [StepEvent.ViewRead]. */
    public data class ReadView(
        val key: StepKey,
        val ask: Long = 0,
    ) : StepEffect

    /** Makes this instance the holder of a step; ends in [StepEvent.OpeningEnded]. */
    public data class Open(
        val opening: StepOpening,
    ) : StepEffect

    /** Writes the record of a held step; ends in [StepEvent.WriteEnded]. */
    public data class Write(
        val write: StepWrite,
    ) : StepEffect

    /** Writes the heartbeat of this instance; the outcome does not matter. */
    public data class Renew(
        val heartbeat: LeaseRecord,
    ) : StepEffect

    /** Gives a lease up, so that another instance can take the step over at once; the outcome does not matter. */
    public data class Release(
        val key: StepKey,
        val lease: Versioned<LeaseRecord>,
    ) : StepEffect

    /** Passes a call on to the holder; ends in [StepEvent.PassOnEnded]. */
    public data class PassOn(
        val ask: Long,
        val instance: String,
        val request: BatchRequest,
    ) : StepEffect

    /** Has an instance start, raise or end a group; a start ends in [StepEvent.GroupEnded]. */
    public data class AssignGroup(
        val instance: String,
        val assignment: GroupAssignment,
    ) : StepEffect

    /** Records why something was decided about a step or one of its groups. */
    public data class Explain(
        val key: StepKey,
        val group: String,
        val peer: String,
        val reason: String,
    ) : StepEffect
}
