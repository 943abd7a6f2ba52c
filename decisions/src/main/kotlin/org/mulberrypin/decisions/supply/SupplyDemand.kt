package org.mulberrypin.decisions.supply

/**
 * Forecast demand of one pool for the time after a new backend server has started, in slots.
 *
 * @property fixedSlots slots for work that must not be moved, such as plain calls that may not be repeated
 * @property movableSlots slots for work that can be moved when a backend server is reclaimed
 * @property slotsPerServer slots of one backend server
 * @property budgetCentsPerHour largest spending of the teams that use the pool; 0 sets no limit
 * @property startMilliseconds time from an order until a backend server takes work
 */
public data class SupplyDemand(
    val pool: String,
    val fixedSlots: Double,
    val movableSlots: Double,
    val slotsPerServer: Int,
    val budgetCentsPerHour: Long,
    val startMilliseconds: Long,
)
