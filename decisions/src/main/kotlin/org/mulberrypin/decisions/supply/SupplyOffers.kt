package org.mulberrypin.decisions.supply

import org.mulberrypin.schema.generated.Configuration

/**
 * Derives the offers from a configuration: one for each group of a pool's backend servers, at the highest price
 * among them.
 *
 * @param reclaimsPerHour expected number of reclaims of a failure domain per hour
 * @param availablePerGroup maximum number of backend servers that can be ordered in one group
 */
public fun supplyOffers(
    configuration: Configuration,
    reclaimsPerHour: (failureDomain: String) -> Double,
    availablePerGroup: Int,
): List<SupplyOffer> =
    configuration.pools.flatMap { pool ->
        pool.backendServers
            .groupBy { ServerGroup(pool.name, it.failureDomain, it.reclaimable) }
            .map { (group, servers) ->
                SupplyOffer(
                    group = group,
                    priceCentsPerHour = servers.maxOf { it.priceCentsPerHour },
                    reclaimsPerHour = if (group.reclaimable) reclaimsPerHour(group.failureDomain) else 0.0,
                    available = availablePerGroup,
                )
            }
    }
