package org.mulberrypin.decisions.attempts

/**
 * A request that may not be repeated and is about to run.
 *
 * @property request number that differs between all requests of this process
 * @property idempotencyKey the caller's idempotency key; keys of different teams have nothing to do with each other
 * @property contentSha256 digest of the request's method, target and body
 */
public data class AttemptBegin(
    val request: Long,
    val team: String,
    val idempotencyKey: String,
    val contentSha256: String,
)
