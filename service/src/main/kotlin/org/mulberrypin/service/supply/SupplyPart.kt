/**
 * The part of an entry instance that plans and orders backend servers for one shard while it holds the shard's lease.
 *
 * The supply duty makes the decisions; the platform duty makes the blocking calls. Rings: if the supply duty's ring is
 * full, a change of configuration or demand is dropped, and the next one replaces it; a dropped result counts as lost,
 * and the state of the order is queried. If the platform duty's ring is full, the operation counts as failed and is
 * retried.
 */
package org.mulberrypin.service.supply

import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.leases.LeasePart

/**
 * Inputs of the supply part.
 *
 * @property configurationChanged applies a configuration with its prices and budget
 * @property demandChanged sets the demand forecast; nothing is ordered before the first forecast
 * @property stop stops the duties and waits for their threads
 */
public data class SupplyPart(
    val configurationChanged: (Configuration) -> Unit,
    val demandChanged: (List<SupplyDemand>) -> Unit,
    val stop: () -> Unit,
)

/** Name of the lease that an instance must hold to order backend servers for [shard]. */
public fun orderLease(shard: String): String = "lease/orders/$shard"

/** Starts planning and ordering backend servers for [shard]. */
public fun startSupplyPart(
    context: EntryContext,
    leases: LeasePart,
    shard: String,
): SupplyPart {
    val events = boundedRing<SupplyEvent>("supply", RING_CAPACITY)
    val operations = boundedRing<SupplyOperation>("supply platform", RING_CAPACITY)
    val offerEvent = { event: SupplyEvent ->
        events.offer(event)
        Unit
    }
    val supplyDuty = SupplyDuty(context, leases.currentLease, shard, operations::offer)
    val platform = SupplyPlatform(context, leases.currentLease, shard, offerEvent)
    val duties = listOf(
        startDuty("supply", events, context.clock, TICK_MILLISECONDS, supplyDuty::handle, supplyDuty::tick),
        startDuty("supply-platform", operations, context.clock, TICK_MILLISECONDS, platform::execute) {},
    )
    return SupplyPart(
        configurationChanged = { offerEvent(SupplyEvent.ConfigurationChanged(it)) },
        demandChanged = { offerEvent(SupplyEvent.DemandChanged(it)) },
        stop = { duties.forEach { it.stop(STOP_TIMEOUT_MILLISECONDS) } },
    )
}

private const val RING_CAPACITY = 64
private const val TICK_MILLISECONDS = 500L
private const val STOP_TIMEOUT_MILLISECONDS = 5_000L
