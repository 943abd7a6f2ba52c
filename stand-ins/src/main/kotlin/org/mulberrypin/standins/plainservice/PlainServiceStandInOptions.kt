package org.mulberrypin.standins.plainservice

/**
 * Options of a plain service stand-in.
 *
 * @property port port on the loopback interface; 0 selects a free one
 * @property identifierHeader header with the identifier by which executions of a request are counted; without the
 * header, the body is the identifier
 * @property delayMilliseconds time between the execution of a request and its response
 * @property identifierLimit maximum number of counted identifiers; the oldest are dropped first
 * @property receivedLimit maximum number of logged requests; the oldest are dropped first
 */
public data class PlainServiceStandInOptions(
    val port: Int = 0,
    val identifierHeader: String = "x-request-id",
    val delayMilliseconds: Long = 0,
    val identifierLimit: Int = 100_000,
    val receivedLimit: Int = 10_000,
)
