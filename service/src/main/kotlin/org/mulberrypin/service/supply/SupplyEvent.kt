package org.mulberrypin.service.supply

import org.mulberrypin.decisions.supply.OrderEffect
import org.mulberrypin.decisions.supply.OrderEvent
import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.schema.generated.Configuration

/** What the duty for supply takes from its ring. */
internal sealed interface SupplyEvent {
    data class ConfigurationChanged(
        val configuration: Configuration,
    ) : SupplyEvent

    data class DemandChanged(
        val demands: List<SupplyDemand>,
    ) : SupplyEvent

    data class Answer(
        val event: OrderEvent,
    ) : SupplyEvent
}

/** What the duty for supply asks of the platform. */
internal data class SupplyStep(
    val effect: OrderEffect,
)
