package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/** What a duty carries out for the decision about membership. */
public sealed interface MembershipEffect {
    /** Read the platform's list. */
    public data object ReadList : MembershipEffect

    /** Tell the platform about this instance. */
    public data class Register(
        val self: InstanceEntry,
    ) : MembershipEffect

    /** Call a peer to learn whether it answers. */
    public data class Probe(
        val peer: InstanceEntry,
    ) : MembershipEffect

    /**
     * Hand on what is known.
     *
     * @property listed every listed instance, suspected ones included, of which majorities are counted
     * @property live those that are taken to serve
     */
    public data class Publish(
        val listed: List<InstanceEntry>,
        val live: List<InstanceEntry>,
    ) : MembershipEffect
}
