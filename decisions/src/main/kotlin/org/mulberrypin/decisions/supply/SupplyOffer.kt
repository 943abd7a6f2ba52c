package org.mulberrypin.decisions.supply

/**
 * Which backend servers can be ordered together: one pool, one failure domain and one kind.
 *
 * @property reclaimable true for backend servers that the platform may take back with seconds of notice
 */
public data class SupplyPlace(
    val pool: String,
    val failureDomain: String,
    val reclaimable: Boolean,
)

/**
 * What a backend server costs and how likely it stays.
 *
 * @property reclaimPerHour expected number of times in an hour that all reclaimable servers of the failure domain go
 * @property available backend servers that can be ordered at most
 */
public data class SupplyOffer(
    val place: SupplyPlace,
    val priceCentsPerHour: Long,
    val reclaimPerHour: Double,
    val available: Int,
)
