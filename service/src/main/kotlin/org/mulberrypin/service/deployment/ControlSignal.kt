package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.capacity.CapacityEvent
import org.mulberrypin.decisions.division.DivisionEvent
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.weights.WeightEvent
import org.mulberrypin.decisions.windows.UsageEvent
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.NamedWeights
import org.mulberrypin.schema.generated.ServingPool

/** A signal that the control duty handles. */
internal sealed interface ControlSignal {
    /** An event for the lease decision. */
    data class Lease(
        val event: LeaseEvent,
    ) : ControlSignal

    /** An event for the weight order decision. */
    data class Weights(
        val event: WeightEvent,
    ) : ControlSignal

    /** An event for the usage window decision. */
    data class Usage(
        val event: UsageEvent,
    ) : ControlSignal

    /** A page of the heartbeat table was read. */
    data class InstancesRead(
        val callNumber: Long,
        val outcome: Outcome<RowPage>,
    ) : ControlSignal

    /** The heartbeats that changed since the last reading. */
    data class InstancesChanged(
        val callNumber: Long,
        val outcome: Outcome<FeedResult>,
    ) : ControlSignal

    /** The crash records that this instance announces changed. */
    data class CrashesAnnounced(
        val records: List<CrashRecord>,
    ) : ControlSignal

    /** The work of this instance's batch jobs, by model, changed. */
    data class DemandStated(
        val demands: List<ModelDemand>,
    ) : ControlSignal

    /** An event for the division of engines among models. */
    data class Division(
        val event: DivisionEvent,
    ) : ControlSignal

    /** An event for the orders of engines. */
    data class Supply(
        val event: CapacityEvent,
    ) : ControlSignal

    /** One of the platform's lists changed; a null list is unchanged. */
    data class ListsChanged(
        val pools: List<ServingPool>? = null,
        val backends: List<BackendServerEntry>? = null,
        val namedWeights: List<NamedWeights>? = null,
        val evacuatedDomains: Set<String>? = null,
    ) : ControlSignal

    /** The instance started to shut down. */
    data object DrainStarted : ControlSignal
}
