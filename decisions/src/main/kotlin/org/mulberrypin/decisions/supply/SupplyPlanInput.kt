package org.mulberrypin.decisions.supply

/**
 * Everything a plan of supply is drawn from.
 *
 * @property current backend servers ordered at present
 * @property budgetCentsPerHour largest spending of all pools of the shard; 0 sets no limit
 */
public data class SupplyPlanInput(
    val demands: List<SupplyDemand>,
    val offers: List<SupplyOffer>,
    val current: Map<SupplyPlace, Int>,
    val budgetCentsPerHour: Long,
    val rules: SupplyRules = SupplyRules(),
)

/**
 * How cautious a plan is.
 *
 * @property headroomRatio slots beyond the forecast, as a ratio of it
 * @property reclaimableRatio largest part of the movable work that is placed on reclaimable servers
 * @property reclaimPenaltyHours hours of a server's price that one reclaim of its failure domain is counted as
 * @property shrinkRatio a kind is only reduced when more than this part of the servers is not needed
 */
public data class SupplyRules(
    val headroomRatio: Double = 0.1,
    val reclaimableRatio: Double = 0.8,
    val reclaimPenaltyHours: Double = 0.25,
    val shrinkRatio: Double = 0.15,
)

/** Answers how many backend servers are wanted in each place; places left out want none. */
public typealias SupplyPolicy = (SupplyPlanInput) -> Map<SupplyPlace, Int>
