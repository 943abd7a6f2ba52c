package org.mulberrypin.decisions.requests

/**
 * The parts of the request decisions that vary.
 *
 * @property chooseServer chooses among the backend servers that have room
 * @property chooseTeam chooses the team that goes next
 */
public data class RequestPolicies(
    val chooseServer: ServerChoice,
    val chooseTeam: TeamChoice,
)

/** The policies that a running service uses. */
public fun servicePolicies(): RequestPolicies = RequestPolicies(::prefixOrLeastLoadedServer, ::leastServedTeam)
