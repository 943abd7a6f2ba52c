package org.mulberrypin.decisions.capacity

import org.mulberrypin.decisions.supply.ServerGroup
import org.mulberrypin.schema.generated.DomainPrice

/** A group in which an engine can be ordered, and its price in relation to the others. */
internal data class GroupOffer(
    val group: ServerGroup,
    val price: Double,
)

/** The offers of the pool, the cheapest first. */
internal fun PoolCapacity.offers(): List<GroupOffer> =
    domainPrices()
        .flatMap { domain ->
            val ordinary = GroupOffer(ServerGroup(name, domain.failureDomain, reclaimable = false), domain.price)
            val reclaimable = GroupOffer(
                ServerGroup(name, domain.failureDomain, reclaimable = true),
                domain.price * limits.reclaimablePriceShare,
            )
            if (limits.reclaimablePriceShare > 0) listOf(ordinary, reclaimable) else listOf(ordinary)
        }.sortedWith(compareBy({ it.price }, { it.group.failureDomain }))

/** The price of each failure domain; without known prices, the domains of the engines cost the same. */
private fun PoolCapacity.domainPrices(): List<DomainPrice> =
    limits.prices.ifEmpty {
        engines.values
            .map { it.failureDomain }
            .distinct()
            .map { DomainPrice(it, 1.0) }
    }
