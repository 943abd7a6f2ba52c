package org.mulberrypin.decisions.supply

/** The new total number of backend servers to order in one place. */
internal data class SupplyChange(
    val place: SupplyPlace,
    val wanted: Int,
    val priceCentsPerHour: Long,
)
