package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/**
 * A request as the front end hands it to the decisions.
 *
 * @property request number that differs between all requests of this process
 * @property name the caller's request identifier, for explanations
 * @property route name of the route: a model, or a plain service
 * @property team the team of the caller's key; empty on a route open to all
 * @property keyName name of the caller's key; empty on a route open to all
 * @property contentDigest digest of the request's content, by which contents that crash backend servers are recognised
 * @property prefixDigest digest of the start of the prompt, by which requests with cached prefixes are recognised
 * @property repeatable true when the request may run more than once
 * @property expectedTokens tokens that the request is expected to take, prompt included
 * @property minimumWeightVersion oldest weight version that may produce tokens; 0 accepts any
 * @property deadlineMilliseconds time after which the answer is of no use, by the clock of this process
 * @property seed seed for choices that are made by chance
 */
public data class RequestArrival(
    val request: Long,
    val name: String,
    val route: String,
    val team: String,
    val keyName: String,
    val priority: RoutePriority,
    val contentDigest: String,
    val prefixDigest: Long,
    val repeatable: Boolean,
    val expectedTokens: Long,
    val minimumWeightVersion: Long,
    val deadlineMilliseconds: Long,
    val seed: Long,
)
