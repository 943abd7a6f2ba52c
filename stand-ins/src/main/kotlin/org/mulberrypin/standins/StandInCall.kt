package org.mulberrypin.standins

/**
 * An operation that a client asked of a stand-in.
 *
 * @property name name of the operation, by which faults choose it
 * @property delayed true when a fault has delayed the operation already
 */
internal data class StandInCall<out Operation : Any>(
    val name: String,
    val operation: Operation,
    val exchange: HttpExchange,
    val delayed: Boolean = false,
)
