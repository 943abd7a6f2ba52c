/** The initial state of the simulated instances. */
package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.RequestBook
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestLimits
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
internal fun initialBook(scenario: RequestScenario): RequestBook {
    val empty = RequestBook(simulatedLimits, failureDomain = "domain-0")
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
        inFlight = 100_000,
        waiting = 2_000,
        waitMilliseconds = Long.MAX_VALUE,
        firstPartMilliseconds = Long.MAX_VALUE,
        idleMilliseconds = Long.MAX_VALUE,
        attempts = 1_000,
        retryRatio = 0.1,
        crashes = 2,
        isolationMilliseconds = 60_000,
    )

private const val FAILURE_DOMAINS = 3
