package org.mulberrypin.decisions.supply

/**
 * Input of a supply policy.
 *
 * @property current number of backend servers currently ordered in each group
 * @property budgetCentsPerHour spending limit over all pools of the shard; 0 means no limit
 */
public data class SupplyPlanInput(
    val demands: List<SupplyDemand>,
    val offers: List<SupplyOffer>,
    val current: Map<ServerGroup, Int>,
    val budgetCentsPerHour: Long,
    val rules: SupplyRules = SupplyRules(),
)

/**
 * Parameters of [planSupply].
 *
 * @property headroomRatio additional slots as a fraction of the forecast demand
 * @property reclaimableRatio maximum fraction of the movable work that is placed on reclaimable servers
 * @property reclaimPenaltyHours cost of one reclaim, in hours of the server's price
 * @property shrinkRatio servers in a group are only reduced if more than this fraction of them is surplus
 */
public data class SupplyRules(
    val headroomRatio: Double = 0.1,
    val reclaimableRatio: Double = 0.8,
    val reclaimPenaltyHours: Double = 0.25,
    val shrinkRatio: Double = 0.15,
)

/** Returns the number of backend servers wanted in each group; none are wanted in groups that are left out. */
public typealias SupplyPolicy = (SupplyPlanInput) -> Map<ServerGroup, Int>
