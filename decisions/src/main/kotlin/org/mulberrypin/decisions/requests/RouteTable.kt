package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.Team

/**
 * The configuration in the form in which requests are decided.
 *
 * @property version version of the configuration
 * @property keys names of the keys that are in force
 */
public data class RouteTable(
    val version: Long = 0,
    val models: Map<String, Route> = emptyMap(),
    val plainServices: Map<String, Route> = emptyMap(),
    val pools: Map<String, Pool> = emptyMap(),
    val teams: Map<String, Team> = emptyMap(),
    val keys: Set<String> = emptySet(),
)

/** The route table of a configuration. */
public fun routeTable(configuration: Configuration): RouteTable {
    val routes = configuration.routes.groupBy { it.kind }
    return RouteTable(
        version = configuration.version,
        models = routes[RouteKind.MODEL].orEmpty().associateBy { it.name },
        plainServices = routes[RouteKind.PLAIN_SERVICE].orEmpty().associateBy { it.name },
        pools = configuration.pools.associateBy { it.name },
        teams = configuration.teams.associateBy { it.name },
        keys = configuration.keys.mapTo(HashSet()) { it.name },
    )
}

/** The route with a name, whatever its kind; names are unique over both kinds. */
internal fun RouteTable.route(name: String): Route? = models[name] ?: plainServices[name]

/** True when the arrival's team and key may use the route. */
internal fun RouteTable.admits(
    route: Route,
    arrival: RequestArrival,
): Boolean =
    when {
        route.openToAll -> true
        arrival.keyName !in keys -> false
        route.teams.isEmpty() -> true
        else -> arrival.team in route.teams
    }
