package org.mulberrypin.service.membership

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.membership.MembershipEffect
import org.mulberrypin.decisions.membership.MembershipEvent
import org.mulberrypin.decisions.membership.chooseBackendServers
import org.mulberrypin.platform.InstanceList
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.EntryContext

/**
 * Starts the duty that decides about membership and the duty that waits for the platform's list.
 *
 * @param onPeers called by the deciding duty with every listed instance, each time the list was read or a peer became
 * suspected or answered again; must not block
 */
public fun startMembershipPart(
    context: EntryContext,
    onPeers: (List<InstanceEntry>) -> Unit,
): MembershipPart {
    val ring = boundedRing<MembershipEvent>("membership", EVENT_CAPACITY)
    val listRing = boundedRing<MembershipEffect>("membership list", LIST_CAPACITY)
    val duty = MembershipDuty(context, ring, listRing, onPeers)
    val deciding = startDuty("membership", ring, context.clock, TICK_MILLISECONDS, duty::handle) {
        duty.handle(MembershipEvent.Tick)
    }
    val listing = startDuty("membership list", listRing, context.clock, IDLE_MILLISECONDS, { effect ->
        callList(context.platform.instances, effect) { ring.offer(it) }
    }) {}
    return MembershipPart(
        register = { address, peerAddress ->
            ring.offer(MembershipEvent.Started(selfEntry(context, address, peerAddress)))
        },
        leave = { ring.offer(MembershipEvent.Leaving) },
        live = duty::live,
        backendServers = { configuration ->
            chooseBackendServers(context.settings.instance.name, duty.live, configuration.pools).toList()
        },
        stop = {
            deciding.stop(STOP_MILLISECONDS)
            listing.stop(STOP_MILLISECONDS)
            if (duty.self?.leaving == true) context.platform.instances.remove(context.settings.instance.name)
        },
    )
}

private fun selfEntry(
    context: EntryContext,
    address: String,
    peerAddress: String,
): InstanceEntry =
    InstanceEntry(
        name = context.settings.instance.name,
        region = context.settings.instance.region,
        failureDomain = context.settings.instance.failureDomain,
        address = address,
        peerAddress = peerAddress,
        incarnation = context.incarnation,
    )

private fun callList(
    list: InstanceList,
    effect: MembershipEffect,
    onEvent: (MembershipEvent) -> Unit,
) {
    when (effect) {
        is MembershipEffect.ReadList -> reportFailure(list.read().map { onEvent(MembershipEvent.ListRead(it)) })
        is MembershipEffect.Register -> reportFailure(list.register(effect.self))
        is MembershipEffect.Probe, is MembershipEffect.Publish -> return
    }
}

private fun reportFailure(outcome: Outcome<Unit>) {
    if (outcome is Outcome.Failure) logger.warn("The list of instances could not be reached: {}", outcome.fault)
}

private val logger = LogManager.getLogger("membership")
private const val EVENT_CAPACITY = 1_024
private const val LIST_CAPACITY = 16
private const val TICK_MILLISECONDS = 500L
private const val IDLE_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 5_000L
