package org.mulberrypin.service.supply

import org.mulberrypin.decisions.supply.OrderEffect
import org.mulberrypin.decisions.supply.OrderEvent
import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.schema.generated.Configuration

/** Elements of the supply duty's ring. */
internal sealed interface SupplyEvent {
    /** A new configuration, with its prices and budget, was applied. */
    data class ConfigurationChanged(
        val configuration: Configuration,
    ) : SupplyEvent

    /** A new demand forecast replaces the previous one. */
    data class DemandChanged(
        val demands: List<SupplyDemand>,
    ) : SupplyEvent

    /** The result of an operation at the platform. */
    data class Answer(
        val event: OrderEvent,
    ) : SupplyEvent
}

/** A blocking operation that the supply duty queues for the platform duty. */
internal data class SupplyOperation(
    val effect: OrderEffect,
)
