package org.mulberrypin.service.membership

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.membership.MembershipEffect
import org.mulberrypin.decisions.membership.MembershipEvent
import org.mulberrypin.decisions.membership.MembershipState
import org.mulberrypin.decisions.membership.decideMembership
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.service.EntryContext

/**
 * Executes the effects that [decideMembership] returns.
 *
 * An event or effect dropped by a full ring is recovered by the next probe, the next read of the list, or the next
 * registration, which is repeated until the list contains this instance.
 */
internal class MembershipDuty(
    private val context: EntryContext,
    private val ring: BoundedRing<MembershipEvent>,
    private val listRing: BoundedRing<MembershipEffect>,
    private val onPeers: (List<InstanceEntry>) -> Unit,
) {
    private var state = MembershipState(context.settings.instance.name)

    @Volatile
    var live: List<InstanceEntry> = emptyList()
        private set

    @Volatile
    var self: InstanceEntry? = null
        private set

    fun handle(event: MembershipEvent) {
        val transition = decideMembership(state, event, context.clock.readMilliseconds())
        state = transition.state
        self = state.self
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Probe -> {
                probe(effect.peer)
            }

            is MembershipEffect.Publish -> {
                publish(effect)
            }

            is MembershipEffect.ReadList, is MembershipEffect.Register -> {
                if (!listRing.offer(effect)) logger.warn("Skipped a call to the instance list: ring full.")
            }
        }
    }

    private fun publish(effect: MembershipEffect.Publish) {
        if (effect.live.size != live.size) {
            logger.info("{} of {} listed instances are considered live.", effect.live.size, effect.listed.size)
        }
        live = effect.live
        onPeers(effect.listed)
    }

    /** Checks that a peer responds, with an announcement of version 0 for an empty range, which has no other effect. */
    private fun probe(peer: InstanceEntry) {
        val announcement = VersionAnnouncement(
            instance = context.settings.instance.name,
            incarnation = context.incarnation,
            timeoutMilliseconds = PROBE_TIMEOUT_MILLISECONDS,
        )
        context.peers.announce(peer.peerAddress, PROBE_TIMEOUT_MILLISECONDS, announcement) { outcome ->
            val answer = (outcome as? Outcome.Success)?.value?.takeIf { it.instance == peer.name }
            ring.offer(
                if (answer == null) {
                    MembershipEvent.PeerFailed(peer.name)
                } else {
                    MembershipEvent.PeerResponded(peer.name, answer.incarnation)
                },
            )
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("membership")
        private const val PROBE_TIMEOUT_MILLISECONDS = 1_000L
    }
}
