package org.mulberrypin.decisions.billing

/**
 * Usage of one request.
 *
 * @property requestName unique name of the request; a second event with the same name is ignored
 * @property requests number of requests to bill, usually 1
 */
public data class UsageEvent(
    val requestName: String,
    val team: String,
    val route: String,
    val requests: Long,
    val promptTokens: Long,
    val generatedTokens: Long,
)
