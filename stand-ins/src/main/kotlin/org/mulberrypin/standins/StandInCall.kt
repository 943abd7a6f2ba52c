package org.mulberrypin.standins

import org.mulberrypin.schema.generated.ReceivedRequest

/**
 * An operation that a client asked of a stand-in.
 *
 * @property name name of the operation, by which faults choose it
 * @property received the request as it arrived
 * @property delayed true when a fault has delayed the operation already
 */
internal data class StandInCall<out Operation : Any>(
    val name: String,
    val operation: Operation,
    val exchange: HttpExchange,
    val received: ReceivedRequest,
    val delayed: Boolean = false,
)
