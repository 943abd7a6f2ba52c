package org.mulberrypin.service.membership

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.membership.MembershipEffect
import org.mulberrypin.decisions.membership.MembershipEvent
import org.mulberrypin.decisions.membership.chooseBackendServers
import org.mulberrypin.platform.InstanceRegistry
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.EntryContext

/**
 * Starts the membership duty and the list duty, which makes the blocking calls to the platform's instance list.
 *
 * @param onPeers called on the membership duty's thread with all listed instances, each time that the list was read, or
 * a peer became suspected or responded again; must not block
 */
public fun startMembershipPart(
    context: EntryContext,
    onPeers: (List<InstanceEntry>) -> Unit,
): MembershipPart {
    val ring = boundedRing<MembershipEvent>("membership", EVENT_RING_CAPACITY)
    val listRing = boundedRing<MembershipEffect>("membership list", LIST_RING_CAPACITY)
    val duty = MembershipDuty(context, ring, listRing, onPeers)
    val decisionDuty = startDuty("membership", ring, context.clock, TICK_MILLISECONDS, duty::handle) {
        duty.handle(MembershipEvent.Tick)
    }
    val listDuty = startDuty("membership list", listRing, context.clock, LIST_TICK_MILLISECONDS, { effect ->
        callInstanceList(context.platform.instances, effect) { ring.offer(it) }
    }) {}
    return MembershipPart(
        register = { address, peerAddress ->
            ring.offer(MembershipEvent.Started(newSelfEntry(context, address, peerAddress)))
        },
        leave = { ring.offer(MembershipEvent.Leaving) },
        live = duty::live,
        backendServers = { configuration ->
            chooseBackendServers(context.settings.instance.name, duty.live, configuration.pools).toList()
        },
        stop = {
            decisionDuty.stop(STOP_MILLISECONDS)
            listDuty.stop(STOP_MILLISECONDS)
            if (duty.self?.leaving == true) context.platform.instances.remove(context.settings.instance.name)
        },
    )
}

private fun newSelfEntry(
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

private fun callInstanceList(
    registry: InstanceRegistry,
    effect: MembershipEffect,
    onEvent: (MembershipEvent) -> Unit,
) {
    when (effect) {
        is MembershipEffect.ReadList -> logFailure(registry.read().map { onEvent(MembershipEvent.ListRead(it)) })
        is MembershipEffect.Register -> logFailure(registry.register(effect.self))
        is MembershipEffect.Probe, is MembershipEffect.Publish -> return
    }
}

private fun logFailure(outcome: Outcome<Unit>) {
    if (outcome is Outcome.Failure) logger.warn("A call to the platform's instance list failed: {}", outcome.fault)
}

private val logger = LogManager.getLogger("membership")
private const val EVENT_RING_CAPACITY = 1_024
private const val LIST_RING_CAPACITY = 16
private const val TICK_MILLISECONDS = 500L
private const val LIST_TICK_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 5_000L
