package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.GroupAssignment

/** Events that the runner decisions handle. */
public sealed interface RunnerEvent {
    /**
     * A holder starts a group, raises its minimum weight version or cancels it. Only a start is answered, under the
     * number [call].
     */
    public data class Assigned(
        val call: Long,
        val assignment: GroupAssignment,
    ) : RunnerEvent

    /** A reply to the request of a sample arrived. */
    public data class Replied(
        val request: Long,
        val reply: RequestReply,
    ) : RunnerEvent

    /** A submitted request was not accepted and has not run. */
    public data class NotAccepted(
        val request: Long,
    ) : RunnerEvent

    /** The scoring of a sample ended; [score] is null when it failed. */
    public data class Scored(
        val request: Long,
        val score: Double?,
    ) : RunnerEvent

    /** This instance begins to shut down; it finishes the groups that it has accepted. */
    public data object Drain : RunnerEvent

    /** Periodic event that triggers checks that depend on time. */
    public data object Tick : RunnerEvent
}
