package org.mulberrypin.standins

import org.mulberrypin.schema.generated.ReceivedRequest

/**
 * An operation that a client requested from a stand-in.
 *
 * @property name name of the operation, by which faults select it
 * @property exchange the request that awaits the response
 * @property received the HTTP request as it was received
 * @property delayed true if a fault has already delayed the operation
 */
internal data class StandInCall<out Operation : Any>(
    val name: String,
    val operation: Operation,
    val exchange: HttpExchange,
    val received: ReceivedRequest,
    val delayed: Boolean = false,
)
