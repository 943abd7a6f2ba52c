package org.mulberrypin.decisions.capacity

import org.mulberrypin.decisions.division.SmoothedDemand
import org.mulberrypin.decisions.supply.ServerGroup
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.SupplyLimits

/**
 * State of the engine orders in one instance. Each instance follows the lists, so that a new holder of the control
 * lease knows what stood before; the holder alone orders.
 *
 * @property pools pools that engines can be ordered for, by name
 * @property demand smoothed demand by model
 * @property heldSinceMilliseconds time since which this instance has held the lease; null while it does not
 * @property orders orders that the lists do not show yet, or that failed, by group
 * @property orderTimes times of the calls of the last minute, in milliseconds
 */
public data class CapacityState(
    val mode: CapacityMode,
    val pools: Map<String, PoolCapacity> = emptyMap(),
    val demand: Map<String, SmoothedDemand> = emptyMap(),
    val heldSinceMilliseconds: Long? = null,
    val orders: Map<ServerGroup, EngineOrder> = emptyMap(),
    val orderTimes: List<Long> = emptyList(),
)

/** What is ordered. */
public enum class CapacityMode {
    /** Nothing. */
    OFF,

    /** Engines in place of those that vanished or were reclaimed. */
    REPLACE,

    /** As many engines as the demand asks for. */
    DEMAND,
}

/**
 * The engines of a pool.
 *
 * @property engines the listed engines, leaving ones included, by identifier
 * @property expected number of engines that should serve: the largest number of late, less those that left as planned
 * @property highest largest number of listed engines of late, by group
 * @property shortSinceMilliseconds time since which fewer engines serve than expected; null if none is missing
 * @property surplusSinceMilliseconds time since which the demand has asked for far fewer engines; null if it does not
 */
public data class PoolCapacity(
    val name: String,
    val models: List<String>,
    val limits: SupplyLimits,
    val engines: Map<String, BackendServerEntry> = emptyMap(),
    val expected: Int = 0,
    val highest: Map<ServerGroup, HighestCount> = emptyMap(),
    val shortSinceMilliseconds: Long? = null,
    val surplusSinceMilliseconds: Long? = null,
)

/** The largest number of engines in a group, and when it was last reached. */
public data class HighestCount(
    val engines: Int,
    val seenMilliseconds: Long,
)

/**
 * The last order for a group.
 *
 * @property target number of engines that was ordered
 * @property added engines that the order adds to those that served at the time; negative if it takes some away
 * @property sinceMilliseconds time of the first call with this target, or of the repeat of an accepted one
 * @property sentMilliseconds time of the last call
 * @property repeats repeats of the order after it was accepted
 * @property answer the platform's answer; null while it is not known
 */
public data class EngineOrder(
    val target: Int,
    val added: Int,
    val sinceMilliseconds: Long,
    val sentMilliseconds: Long,
    val repeats: Int = 0,
    val answer: EngineOrderAnswer? = null,
)

/** How the platform answered an order. */
public enum class EngineOrderAnswer {
    /** The order is carried out. */
    ACCEPTED,

    /** No engines of the group are available at present. */
    UNAVAILABLE,

    /** The answer was lost, or the call did not reach the platform; the order may be carried out later. */
    UNKNOWN,
}

/** Inputs of the capacity decisions. */
public sealed interface CapacityEvent {
    /** The pools or their engines changed. */
    public data class ListsChanged(
        val pools: List<OrderablePool>,
    ) : CapacityEvent

    /** An order was answered, or its answer was lost. */
    public data class OrderAnswered(
        val group: ServerGroup,
        val target: Int,
        val answer: EngineOrderAnswer,
        val detail: String,
    ) : CapacityEvent

    /** Timer tick; [fencingNumber] is that of the control lease, null while another instance holds it. */
    public data class Tick(
        val fencingNumber: Long?,
        val demand: Map<String, SmoothedDemand>,
    ) : CapacityEvent
}

/** A pool with limits of its supply, and its listed engines. */
public data class OrderablePool(
    val name: String,
    val models: List<String>,
    val limits: SupplyLimits,
    val engines: List<BackendServerEntry>,
)

/** Side effects requested by the capacity decisions. */
public sealed interface CapacityEffect {
    /** Order [target] engines in [group], all told. */
    public data class Order(
        val group: ServerGroup,
        val target: Int,
        val fencingNumber: Long,
    ) : CapacityEffect

    /** Record the inputs of a decision. */
    public data class Explain(
        val subject: String,
        val decision: String,
        val inputs: String,
    ) : CapacityEffect
}
