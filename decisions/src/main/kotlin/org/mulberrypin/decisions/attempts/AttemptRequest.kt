package org.mulberrypin.decisions.attempts

/**
 * A non-repeatable request that is about to run.
 *
 * @property request identifier, unique among all requests of this process
 * @property idempotencyKey the caller's idempotency key, which is scoped to the team
 * @property contentSha256 digest of the request's method, target and body
 */
public data class AttemptRequest(
    val request: Long,
    val team: String,
    val idempotencyKey: String,
    val contentSha256: String,
)
