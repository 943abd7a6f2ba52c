package org.mulberrypin.standins.plainservice

import org.mulberrypin.schema.generated.ReceivedRequests
import org.mulberrypin.standins.faults.FaultControl

/**
 * A running plain service stand-in. It responds to any method on any path except /faults, /received and /executions
 * with status 200 and a body that contains the method, the path and the identifier.
 *
 * @property address host and port
 * @property faults control over its faults; operation names are method and path, such as POST /orders
 * @property executions returns how often each request was executed, by identifier
 * @property received returns the logged requests whose path, headers or body contain a text; an empty text matches all
 * @property stop closes the port and all connections
 */
public data class PlainServiceStandIn(
    val address: String,
    val faults: FaultControl,
    val executions: () -> Map<String, Int>,
    val received: (contains: String) -> ReceivedRequests,
    val stop: () -> Unit,
)
