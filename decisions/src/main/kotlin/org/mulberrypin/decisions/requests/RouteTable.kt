package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.Team

/**
 * Configuration indexed for request decisions.
 *
 * @property version version of the configuration
 * @property keys names of the valid keys
 */
public data class RouteTable(
    val version: Long = 0,
    val models: Map<String, Route> = emptyMap(),
    val plainServices: Map<String, Route> = emptyMap(),
    val pools: Map<String, Pool> = emptyMap(),
    val teams: Map<String, Team> = emptyMap(),
    val keys: Set<String> = emptySet(),
)

/** Builds the route table of a configuration. */
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

/** Returns the route with a name; names are unique across both kinds. */
internal fun RouteTable.route(name: String): Route? = models[name] ?: plainServices[name]

/** True when the key and team of the request may use the route. */
internal fun RouteTable.authorizes(
    route: Route,
    arrival: RequestArrival,
): Boolean =
    when {
        route.openToAll -> true
        arrival.keyName !in keys -> false
        route.teams.isEmpty() -> true
        else -> arrival.team in route.teams
    }
