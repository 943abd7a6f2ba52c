/**
 * Decides which instances exist and which of them are taken to serve. The platform's list lags; calls to a bounded
 * number of chosen peers tell sooner. Suspicion only takes a peer out of use: an instance disappears when the platform
 * no longer lists it, so that a parted region never makes a part take itself for the whole.
 */
package org.mulberrypin.decisions.membership

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.InstanceEntry

/** The outcome of a decision about membership. */
public typealias MembershipTransition = Transition<MembershipState, MembershipEffect>

/** Decides [event] at [nowMilliseconds] of the clock of this process. */
public fun decideMembership(
    state: MembershipState,
    event: MembershipEvent,
    nowMilliseconds: Long,
): MembershipTransition =
    when (event) {
        is MembershipEvent.Tick -> handleTick(state, nowMilliseconds)
        is MembershipEvent.Started -> register(state, event.self, nowMilliseconds)
        is MembershipEvent.Leaving -> leave(state, nowMilliseconds)
        is MembershipEvent.ListRead -> takeList(state, event.entries, nowMilliseconds)
        is MembershipEvent.PeerAnswered -> takeAnswer(state, event)
        is MembershipEvent.PeerFailed -> takeFailure(state, event)
    }

private fun handleTick(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val reads = nowMilliseconds >= state.nextReadMilliseconds
    val probes = nowMilliseconds >= state.nextProbeMilliseconds
    val readWait = maxOf(READ_MILLISECONDS, state.entries.size * READ_MILLISECONDS_PER_ENTRY)
    val next = state.copy(
        nextReadMilliseconds = if (reads) nowMilliseconds + readWait else state.nextReadMilliseconds,
        nextProbeMilliseconds = if (probes) nowMilliseconds + PROBE_MILLISECONDS else state.nextProbeMilliseconds,
    )
    val probed = if (probes) state.entries.filter { it.name in state.probes } else emptyList()
    val effects = probed.map { MembershipEffect.Probe(it) }
    return MembershipTransition(next, if (reads) effects + MembershipEffect.ReadList else effects)
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

private fun leave(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val self = state.self ?: return MembershipTransition(state)
    return register(state, self.copy(leaving = true), nowMilliseconds)
}

private fun takeList(
    state: MembershipState,
    listed: List<InstanceEntry>,
    nowMilliseconds: Long,
): MembershipTransition {
    val entries = listed.sortedBy { it.name }.take(ENTRY_LIMIT).map { newest(state, it) }
    val probes = choosePeers(state.instance, entries).associate { it.name to probeOf(state, it) }
    val next = state.copy(entries = entries, probes = probes.toPersistentMap())
    val registered = registerAgain(next, nowMilliseconds)
    return MembershipTransition(registered.state, listOf(publish(next)) + registered.effects)
}

/** An entry of an incarnation older than the one that has answered is as good as not yet replaced. */
private fun newest(
    state: MembershipState,
    entry: InstanceEntry,
): InstanceEntry {
    val known = state.entries.firstOrNull { it.name == entry.name }
    return if (known != null && known.incarnation > entry.incarnation) known else entry
}

/** A new incarnation starts without the failures of the one before. */
private fun probeOf(
    state: MembershipState,
    entry: InstanceEntry,
): PeerProbe =
    state.probes[entry.name]?.takeIf { it.incarnation >= entry.incarnation } ?: PeerProbe(entry.incarnation)

/** Registers again when the list, which lags, has not shown this instance as it is for a while. */
private fun registerAgain(
    state: MembershipState,
    nowMilliseconds: Long,
): MembershipTransition {
    val self = state.self
    val registered = state.registeredMilliseconds
    val waits = registered != null && nowMilliseconds - registered < REGISTER_MILLISECONDS
    return if (self == null || waits || self in state.entries) {
        MembershipTransition(state)
    } else {
        register(state, self, nowMilliseconds)
    }
}

private fun takeAnswer(
    state: MembershipState,
    event: MembershipEvent.PeerAnswered,
): MembershipTransition {
    val probe = state.probes[event.name] ?: return MembershipTransition(state)
    val answered = PeerProbe(maxOf(probe.incarnation, event.incarnation))
    return changeProbe(state, event.name, answered)
}

private fun takeFailure(
    state: MembershipState,
    event: MembershipEvent.PeerFailed,
): MembershipTransition {
    val probe = state.probes[event.name] ?: return MembershipTransition(state)
    return changeProbe(state, event.name, probe.copy(failures = probe.failures + 1))
}

private fun changeProbe(
    state: MembershipState,
    name: String,
    probe: PeerProbe,
): MembershipTransition {
    val wasSuspected = (state.probes[name]?.failures ?: 0) >= SUSPICION_FAILURES
    val next = state.copy(probes = state.probes.put(name, probe))
    val changed = wasSuspected != (probe.failures >= SUSPICION_FAILURES)
    return MembershipTransition(next, if (changed) listOf(publish(next)) else emptyList())
}

private fun publish(state: MembershipState): MembershipEffect = MembershipEffect.Publish(state.entries, state.live)

/** Shortest time between two reads of the list. */
private const val READ_MILLISECONDS = 2_000L

/** Time between two reads for each listed instance, so that a long list stays within the budget for control. */
private const val READ_MILLISECONDS_PER_ENTRY = 100L
private const val PROBE_MILLISECONDS = 2_000L
private const val REGISTER_MILLISECONDS = 10_000L
