/**
 * The part of an entry instance that plans and orders backend servers for one shard while it holds the shard's lease.
 *
 * One duty decides; another carries out the blocking calls. Rings: a change of configuration or demand that finds the
 * duty's ring full is dropped, and the next one replaces it; an answer that finds it full counts as lost, and the order
 * is asked about; a step that finds the ring to the platform full counts as failed and is begun again.
 */
package org.mulberrypin.service.supply

import org.mulberrypin.decisions.supply.SupplyDemand
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.leases.LeasePart

/**
 * @property configurationChanged puts a configuration with its prices and budgets in force
 * @property demandChanged tells the forecast demand; nothing is ordered before the first one
 * @property stop ends the duties
 */
public data class SupplyPart(
    val configurationChanged: (Configuration) -> Unit,
    val demandChanged: (List<SupplyDemand>) -> Unit,
    val stop: () -> Unit,
)

/** Name of the lease under which backend servers are ordered for a shard. */
public fun orderLease(shard: String): String = "lease/orders/$shard"

/** Starts to plan and order for a shard. */
public fun startSupplyPart(
    context: EntryContext,
    leases: LeasePart,
    shard: String,
): SupplyPart {
    val events = boundedRing<SupplyEvent>("supply", RING_CAPACITY)
    val steps = boundedRing<SupplyStep>("supply platform", RING_CAPACITY)
    val answer = { event: SupplyEvent ->
        events.offer(event)
        Unit
    }
    val shell = SupplyShell(context, leases.holding, shard, steps::offer)
    val platform = SupplyPlatform(context, leases.holding, shard, answer)
    val duties = listOf(
        startDuty("supply", events, context.clock, TICK_MILLISECONDS, shell::handle, shell::tick),
        startDuty("supply-platform", steps, context.clock, TICK_MILLISECONDS, platform::carryOut) {},
    )
    return SupplyPart(
        configurationChanged = { answer(SupplyEvent.ConfigurationChanged(it)) },
        demandChanged = { answer(SupplyEvent.DemandChanged(it)) },
        stop = { duties.forEach { it.stop(STOP_WAIT_MILLISECONDS) } },
    )
}

private const val RING_CAPACITY = 64
private const val TICK_MILLISECONDS = 500L
private const val STOP_WAIT_MILLISECONDS = 5_000L
