package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/** A side effect that the membership duty executes. */
public sealed interface MembershipEffect {
    /** Reads the platform's instance list. */
    public data object ReadList : MembershipEffect

    /** Registers this instance with the platform. */
    public data class Register(
        val self: InstanceEntry,
    ) : MembershipEffect

    /** Sends a health check to a peer. */
    public data class Probe(
        val peer: InstanceEntry,
    ) : MembershipEffect

    /**
     * Publishes the current membership to the other duties.
     *
     * @property listed every listed instance including suspected ones; majorities are counted over these
     * @property live instances that are considered available
     */
    public data class Publish(
        val listed: List<InstanceEntry>,
        val live: List<InstanceEntry>,
    ) : MembershipEffect
}
