package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/** Input of the membership decisions. */
public sealed interface MembershipEvent {
    /** Periodic timer tick. */
    public data object Tick : MembershipEvent

    /** This instance accepts connections and must be registered as [self]. */
    public data class Started(
        val self: InstanceEntry,
    ) : MembershipEvent

    /** This instance is shutting down and accepts no new work. */
    public data object Leaving : MembershipEvent

    /** The platform's instance list was read. */
    public data class ListRead(
        val entries: List<InstanceEntry>,
    ) : MembershipEvent

    /** A peer responded to a health check with its incarnation. */
    public data class PeerResponded(
        val name: String,
        val incarnation: Long,
    ) : MembershipEvent

    /** A health check of a peer failed. */
    public data class PeerFailed(
        val name: String,
    ) : MembershipEvent
}
