package org.mulberrypin.decisions.weights

import org.mulberrypin.decisions.traffic.LeavingServers
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.EngineReport

/**
 * State of the weight orders on the instance that holds their lease.
 *
 * @property targetVersions weight version that the engines should load, by model
 * @property pools engine pools with their models and engines
 * @property pendingOrders orders that were started and have not finished, by engine
 * @property leavingServers engines that have said that they are leaving
 */
public data class WeightState(
    val targetVersions: Map<String, Long> = emptyMap(),
    val pools: List<EnginePool> = emptyList(),
    val pendingOrders: Map<String, PendingOrder> = emptyMap(),
    val leavingServers: LeavingServers = LeavingServers(),
)

/**
 * The engines of a pool and the models that they serve.
 *
 * @property shares shares of the models in the engines, in thousandths; empty if all have the same share
 */
public data class EnginePool(
    val models: List<String>,
    val engines: List<BackendServerEntry>,
    val shares: Map<String, Int> = emptyMap(),
)

/**
 * An order to load weights that was started for an engine and has not finished.
 *
 * @property accepted true once the engine has accepted the order
 */
public data class PendingOrder(
    val model: String,
    val version: Long,
    val startedMilliseconds: Long,
    val accepted: Boolean = false,
)

/** Inputs of the weight decisions. */
public sealed interface WeightEvent {
    /** The target versions or the engine pools changed. */
    public data class ListsChanged(
        val targetVersions: Map<String, Long>,
        val pools: List<EnginePool>,
    ) : WeightEvent

    /** An engine said in a response that it is leaving; a null start time stands for the listed lifetime. */
    public data class ServerLeaving(
        val engine: String,
        val startedWallMilliseconds: Long?,
    ) : WeightEvent

    /** The report of an engine, with its weights and order count, was read. */
    public data class ReportRead(
        val engine: String,
        val report: EngineReport,
    ) : WeightEvent

    /** An engine accepted an order. */
    public data class OrderAccepted(
        val engine: String,
    ) : WeightEvent

    /** Reading a report or sending an order failed. */
    public data class StepFailed(
        val engine: String,
        val detail: String,
    ) : WeightEvent

    /** Timer tick while this instance holds the lease for weight orders. */
    public data object Tick : WeightEvent

    /** This instance no longer holds the lease for weight orders. */
    public data object LeaseLost : WeightEvent
}

/** Side effects requested by the weight decisions. */
public sealed interface WeightEffect {
    /** Read the report of an engine. */
    public data class ReadReport(
        val engine: BackendServerEntry,
    ) : WeightEffect

    /**
     * Order an engine to load a weight version.
     *
     * @property acceptedOrders order count in the engine's report; the order is rejected if the count has changed
     */
    public data class Order(
        val engine: BackendServerEntry,
        val model: String,
        val version: Long,
        val acceptedOrders: Long,
    ) : WeightEffect

    /** Record the inputs of a decision. */
    public data class Explain(
        val engine: String,
        val decision: String,
        val inputs: String,
    ) : WeightEffect
}
