package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.SupplyRecord

/**
 * What the process that orders for a shard knows.
 *
 * @property row the shard's row as it is known to be, or null when it must be read
 * @property unsent name of the order that this process wrote down and has not begun to send
 * @property answer what the platform said about the pending order, once it is known
 */
public data class OrderState(
    val terms: OrderTerms,
    val row: SupplyRow? = null,
    val unsent: String? = null,
    val answer: OrderAnswer? = null,
    val attempts: Long = 0,
    val outstanding: OrderStep? = null,
    val nextAskMilliseconds: Long = 0,
)

/** The row of a shard; version 0 stands for a missing row. */
public data class SupplyRow(
    val version: Long,
    val record: SupplyRecord,
)

/** What is known about the outcome of an order. */
public enum class OrderAnswer {
    ACCEPTED,
    REFUSED,
}

/** A step that was begun and whose answer is awaited. */
public data class OrderStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val effect: OrderEffect,
)

/**
 * What supply is wanted.
 *
 * @property budgetCentsPerHour largest spending of the shard, also if every order in doubt was carried out; 0 sets no
 * limit
 */
public data class SupplyTarget(
    val wanted: Map<SupplyPlace, Int>,
    val prices: Map<SupplyPlace, Long>,
    val budgetCentsPerHour: Long,
)

/** What happens to the process that orders for a shard. Answers name the attempt that they belong to. */
public sealed interface OrderEvent {
    /**
     * Time has passed.
     *
     * @property lease the shard's lease, or null when this process does not hold it
     */
    public data class Tick(
        val lease: LeaseHold?,
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

    /** The platform answered about an order; null when it has not seen the order. */
    public data class Answered(
        val attempt: Long,
        val answer: BackendServerOrderAnswer?,
        val wallMilliseconds: Long,
    ) : OrderEvent

    /** The step failed, or it is unknown whether it took effect. */
    public data class Failed(
        val attempt: Long,
    ) : OrderEvent
}

/** What the duty for supply carries out. */
public sealed interface OrderEffect {
    public val attempt: Long

    /** Read the shard's row. */
    public data class Load(
        override val attempt: Long,
    ) : OrderEffect

    /** Write the shard's row, if it and the lease's row still have the expected versions. */
    public data class Write(
        override val attempt: Long,
        val lease: LeaseHold,
        val row: SupplyRow,
    ) : OrderEffect

    /** Send the order, if the lease under its fencing number still covers the longest send immediately before. */
    public data class Send(
        override val attempt: Long,
        val order: BackendServerOrder,
    ) : OrderEffect

    /** Ask what became of an order. */
    public data class Ask(
        override val attempt: Long,
        val name: String,
    ) : OrderEffect
}
