package org.mulberrypin.decisions.supply

/**
 * Demand of one pool, in slots, forecast for the time at which a server ordered now is ready.
 *
 * @property fixedSlots slots for work that cannot be moved, such as calls of plain services that are not idempotent
 * @property movableSlots slots for work that can be moved to another server when a backend server is reclaimed
 * @property slotsPerServer slots of one backend server
 * @property budgetCentsPerHour spending limit of the teams that use the pool; 0 means no limit
 * @property startupMilliseconds time from an order until the backend server accepts requests
 */
public data class SupplyDemand(
    val pool: String,
    val fixedSlots: Double,
    val movableSlots: Double,
    val slotsPerServer: Int,
    val budgetCentsPerHour: Long,
    val startupMilliseconds: Long,
)
