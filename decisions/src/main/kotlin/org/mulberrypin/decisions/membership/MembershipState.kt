package org.mulberrypin.decisions.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Membership as observed by an instance.
 *
 * @property self entry under which this instance registers; null until it accepts connections
 * @property entries the platform's instance list, without entries of replaced incarnations; at most [MAX_ENTRIES],
 *   beyond which the entries with the highest names are dropped
 * @property probes health check results of the selected peers, by name
 * @property registeredMilliseconds time of the latest registration, by the clock of this process; null before the first
 */
public data class MembershipState(
    val instance: String,
    val self: InstanceEntry? = null,
    val entries: List<InstanceEntry> = emptyList(),
    val probes: PersistentMap<String, PeerProbe> = persistentMapOf(),
    val nextReadMilliseconds: Long = Long.MIN_VALUE,
    val nextProbeMilliseconds: Long = Long.MIN_VALUE,
    val registeredMilliseconds: Long? = null,
) {
    /** Failure domains with more than one probed peer, all of which are suspected. */
    public val unreachableDomains: Set<String>
        get() = entries
            .filter { it.name in probes }
            .groupBy { it.failureDomain }
            .filterValues { peers -> peers.size > 1 && peers.all { isSuspected(it) } }
            .keys

    /** This instance, and the listed ones that are neither leaving, nor suspected, nor in an unreachable domain. */
    public val live: List<InstanceEntry>
        get() {
            val unreachable = unreachableDomains
            return entries.filter {
                it.name == instance || !(it.leaving || isSuspected(it) || it.failureDomain in unreachable)
            }
        }

    private fun isSuspected(entry: InstanceEntry): Boolean =
        (probes[entry.name]?.failures ?: 0) >= SUSPICION_THRESHOLD
}

/**
 * Health check results of a peer.
 *
 * @property incarnation highest incarnation found in the list or in a response
 * @property failures health checks that failed since the last response
 */
public data class PeerProbe(
    val incarnation: Long,
    val failures: Int = 0,
)

/** Maximum number of listed instances that are kept. */
public const val MAX_ENTRIES: Int = 4_096

/** Consecutive failed health checks after which a peer is suspected. */
public const val SUSPICION_THRESHOLD: Int = 3
