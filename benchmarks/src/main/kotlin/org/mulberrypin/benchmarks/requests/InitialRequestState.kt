/** The initial state of the simulated instances. */
package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestLimits
import org.mulberrypin.decisions.requests.RequestState
import org.mulberrypin.decisions.requests.requestDecision
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.schema.generated.Team

internal const val INTERACTIVE_ROUTE = "sorter"
internal const val ROLLOUT_ROUTE = "rollout"

/** The request state of an instance that has applied the scenario's configuration. */
internal fun initialRequestState(scenario: RequestScenario): RequestState {
    val empty = RequestState(simulatedLimits, failureDomain = "domain-0")
    val event = RequestEvent.ConfigurationChanged(configuration(scenario))
    return requestDecision(scenario.policies)(empty, event, 0).state
}

private fun configuration(scenario: RequestScenario): Configuration {
    val servers =
        List(scenario.engines) { number ->
            BackendServer("engine-$number", "domain-${number % FAILURE_DOMAINS}", "engine-$number")
        }
    val pool =
        Pool(
            name = "engines",
            backendServers = servers,
            slots = scenario.slots,
            reservedSlots = scenario.reservedSlots,
            model = "sorter",
        )
    return Configuration(
        version = 1,
        teams = scenario.loads.map { Team(it.team, weight = 1.0) },
        keys = scenario.loads.map { Key(it.team, it.team) },
        routes =
            listOf(
                Route(INTERACTIVE_ROUTE, pool = pool.name),
                Route(ROLLOUT_ROUTE, pool = pool.name, priority = RoutePriority.ROLLOUT),
            ),
        pools = listOf(pool),
    )
}

private val simulatedLimits =
    RequestLimits(
        inFlightLimit = 100_000,
        queueLimit = 2_000,
        queueTimeoutMilliseconds = Long.MAX_VALUE,
        firstChunkTimeoutMilliseconds = Long.MAX_VALUE,
        idleTimeoutMilliseconds = Long.MAX_VALUE,
        attemptLimit = 1_000,
        retryRatio = 0.1,
        crashLimit = 2,
        isolationMilliseconds = 60_000,
    )

private const val FAILURE_DOMAINS = 3
