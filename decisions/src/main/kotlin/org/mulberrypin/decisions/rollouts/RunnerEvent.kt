package org.mulberrypin.decisions.rollouts

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.GroupAssignment

/** What the decisions about generating groups are told. */
public sealed interface RunnerEvent {
    /** A holder assigns, raises or ends a group; a start is answered under the number of its call. */
    public data class Assigned(
        val call: Long,
        val assignment: GroupAssignment,
    ) : RunnerEvent

    /** A request of a sample got a reply. */
    public data class Replied(
        val request: Long,
        val reply: RequestReply,
    ) : RunnerEvent

    /** The part for requests did not take a request; it was not run. */
    public data class NotTaken(
        val request: Long,
    ) : RunnerEvent

    /** A sample was scored; [score] is null when the scoring failed. */
    public data class Scored(
        val request: Long,
        val score: Double?,
    ) : RunnerEvent

    /** This instance starts to shut down; groups under way are finished. */
    public data object Drain : RunnerEvent

    /** Time has passed. */
    public data object Tick : RunnerEvent
}
