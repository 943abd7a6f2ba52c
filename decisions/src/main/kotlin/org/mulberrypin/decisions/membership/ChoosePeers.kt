package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Chooses the peers to which [instance] sends health checks: all of them in a small list, otherwise a few of each
 * failure domain by rendezvous hashing. Suspected peers stay selected, so that a network partition between regions does
 * not change the selection and its end is detected immediately.
 */
public fun choosePeers(
    instance: String,
    entries: List<InstanceEntry>,
): List<InstanceEntry> {
    val peers = entries.filter { it.name != instance && !it.leaving }
    if (peers.size <= MAX_PROBED_PEERS) return peers
    return peers
        .groupBy { it.failureDomain }
        .toSortedMap()
        .values
        .flatMap { domain -> domain.sortedByDescending { rendezvousScore(instance, it.name) }.take(PEERS_PER_DOMAIN) }
        .take(MAX_PROBED_PEERS)
}

/** Maximum number of peers that an instance probes. */
public const val MAX_PROBED_PEERS: Int = 32

/** Number of peers probed in each failure domain of a large list. */
public const val PEERS_PER_DOMAIN: Int = 2
