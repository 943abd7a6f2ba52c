package org.mulberrypin.decisions.requests

/**
 * Limits on queues, timeouts and retries of one instance.
 *
 * @property inFlightLimit maximum number of requests in flight
 * @property queueLimit maximum number of queued requests for each priority
 * @property queueTimeoutMilliseconds maximum time in the queue
 * @property firstChunkTimeoutMilliseconds maximum time from dispatch to the first chunk of the response
 * @property idleTimeoutMilliseconds maximum time between two chunks of a response
 * @property attemptLimit maximum number of attempts for a request, including the first
 * @property retryRatio retries added to the retry budget by each first attempt
 * @property crashLimit number of crashed backend servers after which request content is isolated
 * @property isolationMilliseconds time since the latest crash during which isolated content is refused
 */
public data class RequestLimits(
    val inFlightLimit: Int,
    val queueLimit: Int,
    val queueTimeoutMilliseconds: Long,
    val firstChunkTimeoutMilliseconds: Long,
    val idleTimeoutMilliseconds: Long,
    val attemptLimit: Int,
    val retryRatio: Double,
    val crashLimit: Int,
    val isolationMilliseconds: Long,
)
