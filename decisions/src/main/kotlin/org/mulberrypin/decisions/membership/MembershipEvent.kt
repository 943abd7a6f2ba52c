package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/** What the decision about membership is told. */
public sealed interface MembershipEvent {
    /** Time has passed. */
    public data object Tick : MembershipEvent

    /** This instance listens and is to be listed as [self]. */
    public data class Started(
        val self: InstanceEntry,
    ) : MembershipEvent

    /** This instance takes no new work any more. */
    public data object Leaving : MembershipEvent

    /** The platform's list was read. */
    public data class ListRead(
        val entries: List<InstanceEntry>,
    ) : MembershipEvent

    /** A peer answered a call and named its incarnation. */
    public data class PeerAnswered(
        val name: String,
        val incarnation: Long,
    ) : MembershipEvent

    /** A call to a peer failed. */
    public data class PeerFailed(
        val name: String,
    ) : MembershipEvent
}
