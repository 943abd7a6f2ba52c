package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.ReceivedRequests
import org.mulberrypin.standins.faults.FaultControl

/**
 * A running engine stand-in.
 *
 * @property address host and port
 * @property faults control over its faults; the operation names are completion, weights, load and health
 * @property received returns the logged requests whose path, headers or body contain a text; an empty text matches all
 * @property load returns its current load, without the reporting lag
 * @property crashes returns the number of crashes since the start
 * @property crash closes all connections and the port, as a prompt with the poison text does
 * @property stop closes the port and all connections permanently
 */
public data class EngineStandIn(
    val address: String,
    val faults: FaultControl,
    val received: (contains: String) -> ReceivedRequests,
    val load: () -> EngineLoad,
    val crashes: () -> Int,
    val crash: () -> Unit,
    val stop: () -> Unit,
)
