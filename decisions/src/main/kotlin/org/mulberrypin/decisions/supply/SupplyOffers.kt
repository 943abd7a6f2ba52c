package org.mulberrypin.decisions.supply

import org.mulberrypin.schema.generated.Configuration

/**
 * Derives the offers from a configuration: one for each place in which a pool has backend servers, at the highest price
 * among them.
 *
 * @param reclaimPerHour expected number of reclaims of a failure domain per hour
 * @param availableInPlace maximum number of backend servers that can be ordered in one place
 */
public fun supplyOffers(
    configuration: Configuration,
    reclaimPerHour: (failureDomain: String) -> Double,
    availableInPlace: Int,
): List<SupplyOffer> =
    configuration.pools.flatMap { pool ->
        pool.backendServers
            .groupBy { SupplyPlace(pool.name, it.failureDomain, it.reclaimable) }
            .map { (place, servers) ->
                SupplyOffer(
                    place = place,
                    priceCentsPerHour = servers.maxOf { it.priceCentsPerHour },
                    reclaimPerHour = if (place.reclaimable) reclaimPerHour(place.failureDomain) else 0.0,
                    available = availableInPlace,
                )
            }
    }
