package org.mulberrypin.standins.plainservice

/**
 * How a plain service stand-in behaves.
 *
 * @property port port on the loopback interface; 0 takes a free one
 * @property identifierHeader header whose value names the request that executions are counted by; a request without it
 * is counted by its body
 * @property delayMilliseconds time between the execution of a request and its answer
 * @property identifierLimit identifiers that are counted at most; the oldest go first
 * @property receivedLimit received requests that are kept for inspection at most; the oldest go first
 */
public data class PlainServiceStandInOptions(
    val port: Int = 0,
    val identifierHeader: String = "x-request-id",
    val delayMilliseconds: Long = 0,
    val identifierLimit: Int = 100_000,
    val receivedLimit: Int = 10_000,
)
