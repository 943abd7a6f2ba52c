package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Chooses the instance that keeps a copy of this instance's usage: in the same region but another failure domain where
 * there is one, so that one failure takes only one of the two, and a different one for each instance that asks.
 *
 * @param failures number of peers that did not take a copy so far; each failure leads to the next candidate
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
