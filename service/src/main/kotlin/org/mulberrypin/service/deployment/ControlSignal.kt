package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.weights.WeightEvent
import org.mulberrypin.decisions.windows.UsageEvent
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.NamedWeights
import org.mulberrypin.schema.generated.ServingPool

/** What the control duty is told. */
internal sealed interface ControlSignal {
    /** An event of the lease. */
    data class Lease(
        val event: LeaseEvent,
    ) : ControlSignal

    /** An event of the weight orders. */
    data class Weights(
        val event: WeightEvent,
    ) : ControlSignal

    /** An event of the usage windows. */
    data class Usage(
        val event: UsageEvent,
    ) : ControlSignal

    /** The table of heartbeats was read. */
    data class InstancesRead(
        val outcome: Outcome<List<StoredRow>>,
    ) : ControlSignal

    /** A list of the platform changed; a null list stays as it was. */
    data class ListsChanged(
        val pools: List<ServingPool>? = null,
        val backends: List<BackendServerEntry>? = null,
        val named: List<NamedWeights>? = null,
    ) : ControlSignal

    /** The instance shuts down. */
    data object DrainStarted : ControlSignal
}
