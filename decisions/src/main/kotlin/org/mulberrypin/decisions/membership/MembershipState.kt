package org.mulberrypin.decisions.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * What an instance knows about the others.
 *
 * @property self how this instance is to be listed; null until it listens
 * @property entries the platform's list, without incarnations known to be gone; bounded by [ENTRY_LIMIT], beyond which
 * the entries with the highest names are left out
 * @property probes what calls to the chosen peers have shown, by name
 * @property registeredMilliseconds when this instance last registered itself, or null
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
    /** Failure domains of which every probed peer, and more than one, is suspected. */
    public val lostDomains: Set<String>
        get() = entries
            .filter { it.name in probes }
            .groupBy { it.failureDomain }
            .filterValues { peers -> peers.size > 1 && peers.all { isSuspected(it) } }
            .keys

    /** This instance, and the listed ones that are neither leaving, nor suspected, nor in a lost failure domain. */
    public val live: List<InstanceEntry>
        get() {
            val lost = lostDomains
            return entries.filter {
                it.name == instance || !(
                    it.leaving || isSuspected(
                        it,
                    ) || it.failureDomain in lost
                )
            }
        }

    private fun isSuspected(entry: InstanceEntry): Boolean =
        (probes[entry.name]?.failures ?: 0) >= SUSPICION_FAILURES
}

/**
 * What calls to a peer have shown.
 *
 * @property incarnation the highest incarnation that the list or an answer named
 * @property failures calls that failed since the last answer
 */
public data class PeerProbe(
    val incarnation: Long,
    val failures: Int = 0,
)

/** Listed instances kept at most. */
public const val ENTRY_LIMIT: Int = 4_096

/** Calls in a row that fail before a peer is suspected. */
public const val SUSPICION_FAILURES: Int = 3
