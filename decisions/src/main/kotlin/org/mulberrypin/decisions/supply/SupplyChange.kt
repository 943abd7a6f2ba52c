package org.mulberrypin.decisions.supply

/** The new total number of backend servers to order in one group. */
internal data class SupplyChange(
    val group: ServerGroup,
    val wanted: Int,
    val priceCentsPerHour: Long,
)
