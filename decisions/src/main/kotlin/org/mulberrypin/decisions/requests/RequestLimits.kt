package org.mulberrypin.decisions.requests

/**
 * Limits on queues, timeouts and retries of one instance.
 *
 * @property inFlight maximum number of requests in flight
 * @property waiting maximum number of queued requests for each priority
 * @property waitMilliseconds maximum time in the queue
 * @property firstPartMilliseconds maximum time from dispatch to the first chunk of the response
 * @property idleMilliseconds maximum time between two chunks of a response
 * @property attempts maximum number of attempts for a request, including the first
 * @property retryRatio retries added to the retry budget by each first attempt
 * @property crashes number of crashed backend servers after which request content is isolated
 * @property isolationMilliseconds time since the latest crash during which isolated content is refused
 */
public data class RequestLimits(
    val inFlight: Int,
    val waiting: Int,
    val waitMilliseconds: Long,
    val firstPartMilliseconds: Long,
    val idleMilliseconds: Long,
    val attempts: Int,
    val retryRatio: Double,
    val crashes: Int,
    val isolationMilliseconds: Long,
)
