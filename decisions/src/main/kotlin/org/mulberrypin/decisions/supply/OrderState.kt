package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.SupplyRecord

/**
 * State of the ordering process of one shard.
 *
 * @property row the last known content of the shard's row, or null when it must be read
 * @property unsentOrderName name of the order that this process has stored and not started to send, or null
 * @property outcome outcome of the pending order, or null while it is unknown
 * @property attempts number of steps started so far; the number of the latest step
 * @property outstanding the step whose response is awaited, or null
 * @property nextRetryMilliseconds time before which neither a read nor a query is retried, by the clock of this process
 */
public data class OrderState(
    val limits: OrderTimeLimits,
    val row: SupplyRow? = null,
    val unsentOrderName: String? = null,
    val outcome: OrderOutcome? = null,
    val attempts: Long = 0,
    val outstanding: OrderStep? = null,
    val nextRetryMilliseconds: Long = 0,
)

/**
 * The row of a shard in the table service.
 *
 * @property version version of the row; 0 if the row does not exist
 */
public data class SupplyRow(
    val version: Long,
    val record: SupplyRecord,
)

/** Outcome of an order at the platform. */
public enum class OrderOutcome {
    ACCEPTED,
    REFUSED,
}

/**
 * A step whose response is awaited.
 *
 * @property sentMilliseconds time at which the step was started, by the clock of this process
 */
public data class OrderStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val effect: OrderEffect,
)

/**
 * The desired supply of a shard.
 *
 * @property wanted number of backend servers in each group
 * @property prices price of one backend server in each group, in cents per hour
 * @property budgetCentsPerHour spending limit of the shard, which also holds if every order with an unknown outcome was
 * executed; 0 means no limit
 */
public data class SupplyTarget(
    val wanted: Map<ServerGroup, Int>,
    val prices: Map<ServerGroup, Long>,
    val budgetCentsPerHour: Long,
)

/** An input of [decideOrders]. Responses carry the number of the step that they belong to, in attempt. */
public sealed interface OrderEvent {
    /**
     * Periodic event that starts due steps.
     *
     * @property lease the shard's lease, or null when this process does not hold it
     * @property wallMilliseconds wall-clock time in milliseconds since the Unix epoch
     */
    public data class Tick(
        val lease: HeldLease?,
        val target: SupplyTarget,
        val wallMilliseconds: Long,
    ) : OrderEvent

    /** The shard's row was read. */
    public data class Loaded(
        val attempt: Long,
        val row: SupplyRow,
    ) : OrderEvent

    /** The row was written. */
    public data class Written(
        val attempt: Long,
    ) : OrderEvent

    /**
     * The platform responded to an order or to a query for one.
     *
     * @property answer the outcome of the order, or null when the platform has not received it
     * @property wallMilliseconds arrival time of the response in milliseconds since the Unix epoch
     */
    public data class ResponseReceived(
        val attempt: Long,
        val answer: BackendServerOrderAnswer?,
        val wallMilliseconds: Long,
    ) : OrderEvent

    /** The step failed, or it is unknown whether it took effect. */
    public data class Failed(
        val attempt: Long,
    ) : OrderEvent
}

/** An action that the supply thread performs for [decideOrders]. */
public sealed interface OrderEffect {
    public val attempt: Long

    /** Read the shard's row. */
    public data class Load(
        override val attempt: Long,
    ) : OrderEffect

    /** Write the shard's row on condition that it and the lease's row still have the expected versions. */
    public data class Write(
        override val attempt: Long,
        val lease: HeldLease,
        val row: SupplyRow,
    ) : OrderEffect

    /** Send the order if, checked immediately before, the lease with its fencing number outlasts the send timeout. */
    public data class Send(
        override val attempt: Long,
        val order: BackendServerOrder,
    ) : OrderEffect

    /** Query the outcome of the order named [name]. */
    public data class QueryOrder(
        override val attempt: Long,
        val name: String,
    ) : OrderEffect
}
