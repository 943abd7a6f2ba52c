/**
 * Determines which instances exist and which of them are available. The platform's list is outdated at times; health
 * checks of a bounded number of peers detect failures sooner. A suspected peer is only considered unavailable; it is
 * removed from membership only when the platform no longer lists it. Majorities are therefore counted over all listed
 * instances, and one side of a network partition never counts as the whole cluster.
 */
package org.mulberrypin.decisions.membership

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.InstanceEntry

/** New state and side effects of a membership decision. */
public typealias MembershipTransition = Transition<MembershipState, MembershipEffect>

/** Applies [event] at [nowMilliseconds] by the clock of this process. */
public fun decideMembership(
    state: MembershipState,
    event: MembershipEvent,
    nowMilliseconds: Long,
): MembershipTransition =
    when (event) {
        is MembershipEvent.Tick -> handleTick(state, nowMilliseconds)
        is MembershipEvent.Started -> register(state, event.self, nowMilliseconds)
        is MembershipEvent.Leaving -> announceLeaving(state, nowMilliseconds)
        is MembershipEvent.ListRead -> handleList(state, event.entries, nowMilliseconds)
        is MembershipEvent.PeerResponded -> handleResponse(state, event)
        is MembershipEvent.PeerFailed -> handleFailure(state, event)
    }

private fun handleTick(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val readDue = nowMilliseconds >= state.nextReadMilliseconds
    val probeDue = nowMilliseconds >= state.nextProbeMilliseconds
    val intervalMilliseconds =
        maxOf(MIN_READ_INTERVAL_MILLISECONDS, state.entries.size * READ_MILLISECONDS_PER_ENTRY)
    val next = state.copy(
        nextReadMilliseconds = if (readDue) nowMilliseconds + intervalMilliseconds else state.nextReadMilliseconds,
        nextProbeMilliseconds =
            if (probeDue) nowMilliseconds + PROBE_INTERVAL_MILLISECONDS else state.nextProbeMilliseconds,
    )
    val probedPeers = if (probeDue) state.entries.filter { it.name in state.probes } else emptyList()
    val effects = probedPeers.map { MembershipEffect.Probe(it) }
    return MembershipTransition(next, if (readDue) effects + MembershipEffect.ReadList else effects)
}

private fun register(
    state: MembershipState,
    self: InstanceEntry,
    nowMilliseconds: Long,
): MembershipTransition =
    MembershipTransition(
        state.copy(self = self, registeredMilliseconds = nowMilliseconds),
        listOf(MembershipEffect.Register(self)),
    )

private fun announceLeaving(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val self = state.self ?: return MembershipTransition(state)
    return register(state, self.copy(leaving = true), nowMilliseconds)
}

private fun handleList(
    state: MembershipState,
    listed: List<InstanceEntry>,
    nowMilliseconds: Long,
): MembershipTransition {
    val entries = listed.sortedBy { it.name }.take(MAX_ENTRIES).map { newestEntry(state, it) }
    val probes = choosePeers(state.instance, entries).associate { it.name to probeOf(state, it) }
    val next = state.copy(entries = entries, probes = probes.toPersistentMap())
    val registration = registerIfUnlisted(next, nowMilliseconds)
    return MembershipTransition(registration.state, listOf(publish(next)) + registration.effects)
}

/** Returns the entry with the higher incarnation, since a lagging list may still contain a replaced one. */
private fun newestEntry(
    state: MembershipState,
    entry: InstanceEntry,
): InstanceEntry {
    val current = state.entries.firstOrNull { it.name == entry.name }
    return if (current != null && current.incarnation > entry.incarnation) current else entry
}

/** Returns the probe state of an entry; a new incarnation starts with no failures. */
private fun probeOf(
    state: MembershipState,
    entry: InstanceEntry,
): PeerProbe =
    state.probes[entry.name]?.takeIf { it.incarnation >= entry.incarnation } ?: PeerProbe(entry.incarnation)

/** Registers again if the list, which may lag, still lacks the current entry of this instance after a while. */
private fun registerIfUnlisted(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val self = state.self
    val lastMilliseconds = state.registeredMilliseconds
    val recentlyRegistered =
        lastMilliseconds != null && nowMilliseconds - lastMilliseconds < REGISTER_RETRY_MILLISECONDS
    return if (self == null || recentlyRegistered || self in state.entries) {
        MembershipTransition(state)
    } else {
        register(state, self, nowMilliseconds)
    }
}

private fun handleResponse(
    state: MembershipState,
    event: MembershipEvent.PeerResponded,
): MembershipTransition {
    val probe = state.probes[event.name] ?: return MembershipTransition(state)
    val answered = PeerProbe(maxOf(probe.incarnation, event.incarnation))
    return updateProbe(state, event.name, answered)
}

private fun handleFailure(
    state: MembershipState,
    event: MembershipEvent.PeerFailed,
): MembershipTransition {
    val probe = state.probes[event.name] ?: return MembershipTransition(state)
    return updateProbe(state, event.name, probe.copy(failures = probe.failures + 1))
}

private fun updateProbe(
    state: MembershipState,
    name: String,
    probe: PeerProbe,
): MembershipTransition {
    val wasSuspected = (state.probes[name]?.failures ?: 0) >= SUSPICION_THRESHOLD
    val next = state.copy(probes = state.probes.put(name, probe))
    val changed = wasSuspected != (probe.failures >= SUSPICION_THRESHOLD)
    return MembershipTransition(next, if (changed) listOf(publish(next)) else emptyList())
}

private fun publish(state: MembershipState): MembershipEffect = MembershipEffect.Publish(state.entries, state.live)

/** Minimum time between two reads of the list. */
private const val MIN_READ_INTERVAL_MILLISECONDS = 2_000L

/** Read interval per listed instance, so that reading long lists stays within the control-plane traffic budget. */
private const val READ_MILLISECONDS_PER_ENTRY = 100L
private const val PROBE_INTERVAL_MILLISECONDS = 2_000L

/** Time after a registration until it is repeated if the list still lacks the current entry of this instance. */
private const val REGISTER_RETRY_MILLISECONDS = 10_000L
