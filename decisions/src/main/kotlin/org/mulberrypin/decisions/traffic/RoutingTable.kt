package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingRoute

/**
 * Lookup tables built from a configuration.
 *
 * @property routesByHost routes of each host, the longest path prefix first
 * @property teamByKey team of each API key
 * @property requiresKeys true if the configuration has a list of teams, also an empty one; without one, requests need
 *   no key
 * @property modelsByPool models that the engines of each pool serve
 * @property priorityByTeam priority of each team that has one of its own
 * @property serverPriorities priority that backend servers are told, by priority; empty if all work has the same one
 */
public data class RoutingTable(
    val version: Long,
    val routesByHost: Map<String, List<ServingRoute>>,
    val teamByKey: Map<String, String>,
    val requiresKeys: Boolean,
    val modelsByPool: Map<String, List<String>>,
    val priorityByTeam: Map<String, Int> = emptyMap(),
    val serverPriorities: Map<Int, Int> = emptyMap(),
)

/** Builds the lookup tables for [configuration]. */
public fun routingTableOf(configuration: ServingConfiguration): RoutingTable =
    RoutingTable(
        version = configuration.version,
        routesByHost = configuration.routes
            .groupBy { it.host }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } },
        teamByKey = configuration.teams.flatMap { team -> team.keys.map { it to team.name } }.toMap(),
        requiresKeys = configuration.requiresKeys || configuration.teams.isNotEmpty(),
        modelsByPool = configuration.pools.associate { it.name to it.models },
        priorityByTeam = configuration.teams.mapNotNull { team -> team.priority?.let { team.name to it } }.toMap(),
        serverPriorities = serverPrioritiesOf(configuration),
    )

/** Finds the route with the longest matching path prefix; null if no route matches. */
public fun RoutingTable.findRoute(
    host: String,
    path: String,
): ServingRoute? {
    val pathWithoutQuery = path.substringBefore('?')
    return routesByHost[host]?.firstOrNull { pathWithoutQuery.startsWith(it.pathPrefix) }
}

/** Result of the authorization of a request. */
public sealed interface Authorization {
    /** The request is authorized and counted as usage of [team]; null if it needs no key. */
    public data class Granted(
        val team: String?,
    ) : Authorization

    /** The key is missing or unknown. */
    public data object UnknownKey : Authorization
}

/** Checks whether [key] permits a request on [route]. */
public fun RoutingTable.authorize(
    route: ServingRoute,
    key: String?,
): Authorization {
    if (route.openToAll || !requiresKeys) return Authorization.Granted(null)
    val team = key?.let(teamByKey::get) ?: return Authorization.UnknownKey
    return Authorization.Granted(team)
}

/** Selects a pool of [route] by weight; the same [seed] always gives the same pool. */
internal fun poolOf(
    route: ServingRoute,
    seed: Long,
): String? {
    val total = route.pools.sumOf { it.weight }
    if (total <= 0) return route.pools.firstOrNull()?.pool
    var remainder = Math.floorMod(seed, total.toLong())
    for (share in route.pools) {
        if (remainder < share.weight) return share.pool
        remainder -= share.weight
    }
    return null
}
