package org.mulberrypin.decisions.supply

/**
 * A group of interchangeable backend servers: one pool, one failure domain, and either reclaimable or not.
 *
 * @property reclaimable true for backend servers that the platform may reclaim with a few seconds' notice
 */
public data class ServerGroup(
    val pool: String,
    val failureDomain: String,
    val reclaimable: Boolean,
)

/**
 * Price, availability and reclaim rate of the backend servers in one group.
 *
 * @property reclaimsPerHour expected number of reclaims per hour, each of which removes all reclaimable servers of the
 * failure domain
 * @property available maximum number of backend servers that can be ordered
 */
public data class SupplyOffer(
    val group: ServerGroup,
    val priceCentsPerHour: Long,
    val reclaimsPerHour: Double,
    val available: Int,
)
