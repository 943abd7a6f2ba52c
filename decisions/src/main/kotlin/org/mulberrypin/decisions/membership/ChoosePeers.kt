package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Chooses the peers that [instance] probes: all of them in a small list, else a few of each failure domain by
 * rendezvous hashing. Suspected peers stay chosen, so that a parted region changes no choice and is noticed at once
 * when it comes back.
 */
public fun choosePeers(
    instance: String,
    entries: List<InstanceEntry>,
): List<InstanceEntry> {
    val peers = entries.filter { it.name != instance && !it.leaving }
    if (peers.size <= PEER_LIMIT) return peers
    return peers
        .groupBy { it.failureDomain }
        .toSortedMap()
        .values
        .flatMap { domain -> domain.sortedByDescending { rendezvousScore(instance, it.name) }.take(PEERS_PER_DOMAIN) }
        .take(PEER_LIMIT)
}

/** Peers that one instance probes at most. */
public const val PEER_LIMIT: Int = 32

/** Peers probed in each failure domain of a large list. */
public const val PEERS_PER_DOMAIN: Int = 2
