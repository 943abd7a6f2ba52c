package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.ReceivedRequests
import org.mulberrypin.standins.faults.FaultControl

/**
 * A running engine stand-in.
 *
 * @property address host and port
 * @property faults control over its faults; operations are named completion, weights, load and health
 * @property received reads the last requests that hold a text in path, headers or body; an empty text finds all
 * @property load reads its load without lag
 * @property crashes reads the number of crashes since the start
 * @property crash cuts all connections and closes the port, as a poisonous prompt does
 * @property stop ends it for good
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
