package org.mulberrypin.standins.plainservice

import org.mulberrypin.schema.generated.ReceivedRequests
import org.mulberrypin.standins.faults.FaultControl

/**
 * A running plain service stand-in. It answers any method under any path but /faults, /received and /executions with
 * status 200 and a body that names method, path and identifier.
 *
 * @property address host and port
 * @property faults control over its faults; operations are named by method and path, such as POST /orders
 * @property executions reads how often each request was executed, by identifier
 * @property received reads the last requests that hold a text in path, headers or body; an empty text finds all
 * @property stop closes the port and cuts all connections
 */
public data class PlainServiceStandIn(
    val address: String,
    val faults: FaultControl,
    val executions: () -> Map<String, Int>,
    val received: (contains: String) -> ReceivedRequests,
    val stop: () -> Unit,
)
