package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/**
 * A request as submitted by a front end.
 *
 * @property request identifier, unique among all requests of this process
 * @property requestId request identifier from the caller, used in explanations
 * @property route name of the route, which is a model or a plain service
 * @property team the team of the caller's key; empty on a route open to all
 * @property keyName name of the caller's key; empty on a route open to all
 * @property contentDigest digest of the request content, used to recognise content that crashes backend servers
 * @property promptPrefixDigest digest of the prompt prefix, used for prefix-cache affinity; 0 without a prefix
 * @property repeatable true when the request is safe to run more than once
 * @property expectedTokens estimated number of tokens, including the prompt
 * @property minimumWeightVersion oldest weight version that may produce tokens; 0 accepts any
 * @property deadlineMilliseconds time after which the response is no longer needed, by the clock of this process
 * @property seed seed of random choices
 */
public data class RequestArrival(
    val request: Long,
    val requestId: String,
    val route: String,
    val team: String,
    val keyName: String,
    val priority: RoutePriority,
    val contentDigest: String,
    val promptPrefixDigest: Long,
    val repeatable: Boolean,
    val expectedTokens: Long,
    val minimumWeightVersion: Long,
    val deadlineMilliseconds: Long,
    val seed: Long,
)
