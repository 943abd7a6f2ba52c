package org.mulberrypin.decisions.weights

import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.EngineReport

/**
 * What the holder of the order duty knows.
 *
 * @property named the newest version that was named, by model
 * @property engines engines by pool, with the models of each pool
 * @property underWay orders that were begun and are not known to be over, by engine
 */
public data class WeightState(
    val named: Map<String, Long> = emptyMap(),
    val pools: List<EnginePool> = emptyList(),
    val underWay: Map<String, OrderUnderWay> = emptyMap(),
)

/** The engines of a pool and the models that they serve. */
public data class EnginePool(
    val models: List<String>,
    val engines: List<BackendServerEntry>,
)

/**
 * An order that was begun.
 *
 * @property accepted true once the engine has accepted it
 */
public data class OrderUnderWay(
    val model: String,
    val version: Long,
    val begunMilliseconds: Long,
    val accepted: Boolean = false,
)

/** What happens to the holder of the order duty. */
public sealed interface WeightEvent {
    /** The platform's lists changed. */
    public data class ListsChanged(
        val named: Map<String, Long>,
        val pools: List<EnginePool>,
    ) : WeightEvent

    /** An engine told its weights and orders. */
    public data class ReportRead(
        val engine: String,
        val report: EngineReport,
    ) : WeightEvent

    /** An engine accepted an order. */
    public data class OrderAccepted(
        val engine: String,
    ) : WeightEvent

    /** A report or an order did not succeed. */
    public data class StepFailed(
        val engine: String,
        val detail: String,
    ) : WeightEvent

    /** Time has passed, and this instance holds the duty. */
    public data object Ticked : WeightEvent

    /** This instance does not hold the duty any more. */
    public data object DutyLost : WeightEvent
}

/** What the duty carries out. */
public sealed interface WeightEffect {
    /** Ask an engine for its report. */
    public data class ReadReport(
        val engine: BackendServerEntry,
    ) : WeightEffect

    /** Order an engine to load a version. */
    public data class Order(
        val engine: BackendServerEntry,
        val model: String,
        val version: Long,
        val acceptedOrders: Long,
    ) : WeightEffect

    /** Record why something was decided. */
    public data class Explain(
        val engine: String,
        val decision: String,
        val inputs: String,
    ) : WeightEffect
}
