package org.mulberrypin.decisions.billing

/**
 * Usage of one request.
 *
 * @property name name of the request; a second event under the same name is not counted
 * @property requests number of requests to bill, usually 1
 */
public data class UsageEvent(
    val name: String,
    val team: String,
    val route: String,
    val requests: Long,
    val promptTokens: Long,
    val generatedTokens: Long,
)
