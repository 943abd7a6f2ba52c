package org.mulberrypin.decisions.requests

/**
 * Bounds within which requests are carried.
 *
 * @property inFlight requests under way at the same time
 * @property waiting requests that wait for a backend server
 * @property waitMilliseconds longest wait for a backend server
 * @property firstPartMilliseconds longest wait for the first part of an answer
 * @property idleMilliseconds longest pause between two parts of an answer
 * @property attempts attempts at one request, the first included
 * @property retryRatio retries allowed for each first attempt
 * @property crashes backend server crashes after which a content is isolated
 * @property isolationMilliseconds time for which an isolated content is refused
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
