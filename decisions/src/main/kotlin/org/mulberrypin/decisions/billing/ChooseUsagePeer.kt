package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Chooses the peer that stores a copy of this instance's usage, or null if there is none. Peers in the same region but
 * another failure domain are preferred, so that a single failure loses only one of the two copies. Equally suitable
 * peers are ordered by a hash of both names, so that the copies of different instances are spread over the peers.
 *
 * @param failures number of peers that have failed to store a copy so far; each failure selects the next candidate
 */
public fun chooseUsagePeer(
    own: InstanceEntry,
    instances: List<InstanceEntry>,
    failures: Int,
): InstanceEntry? {
    val candidates = instances
        .filter { it.name != own.name && !it.leaving && it.peerAddress.isNotEmpty() }
        .sortedWith(
            compareBy(
                { it.region != own.region },
                { it.failureDomain == own.failureDomain },
                { "${own.name} ${it.name}".hashCode() },
            ),
        )
    return if (candidates.isEmpty()) null else candidates[failures % candidates.size]
}
