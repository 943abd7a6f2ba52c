package org.mulberrypin.decisions.requests

/**
 * Replaceable scheduling policies of the request decisions; benchmarks compare alternatives.
 *
 * @property chooseServer chooses among the backend servers with a free slot
 * @property chooseTeam chooses the team whose request is dispatched next
 */
public data class RequestPolicies(
    val chooseServer: ServerChoice,
    val chooseTeam: TeamChoice,
)

/** The policies that the service uses in production. */
public fun defaultPolicies(): RequestPolicies = RequestPolicies(::prefixOrLeastLoadedServer, ::lowestVirtualTimeTeam)
