package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingRoute

/**
 * A configuration prepared for look-ups.
 *
 * @property routesByHost routes of each host, the longest path prefix first
 * @property teamByKey team of each key; a configuration without teams asks for no keys
 * @property modelsByPool models that the engines of a pool serve
 */
public data class RoutingTable(
    val version: Long,
    val routesByHost: Map<String, List<ServingRoute>>,
    val teamByKey: Map<String, String>,
    val asksForKeys: Boolean,
    val modelsByPool: Map<String, List<String>>,
)

/** Prepares [configuration] for look-ups. */
public fun routingTableOf(configuration: ServingConfiguration): RoutingTable =
    RoutingTable(
        version = configuration.version,
        routesByHost = configuration.routes
            .groupBy { it.host }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } },
        teamByKey = configuration.teams.flatMap { team -> team.keys.map { it to team.name } }.toMap(),
        asksForKeys = configuration.teams.isNotEmpty(),
        modelsByPool = configuration.pools.associate { it.name to it.models },
    )

/** The route of a request; the longest prefix wins. */
public fun RoutingTable.findRoute(
    host: String,
    path: String,
): ServingRoute? {
    val plainPath = path.substringBefore('?')
    return routesByHost[host]?.firstOrNull { plainPath.startsWith(it.pathPrefix) }
}

/** Who may send a request on a route. */
public sealed interface Admission {
    /** The request runs for [team]; null on a route that is open to all. */
    public data class Granted(
        val team: String?,
    ) : Admission

    /** The key is missing or unknown. */
    public data object UnknownKey : Admission
}

/** Judges the key of a request. */
public fun RoutingTable.admit(
    route: ServingRoute,
    key: String?,
): Admission {
    if (route.openToAll || !asksForKeys) return Admission.Granted(null)
    val team = key?.let(teamByKey::get) ?: return Admission.UnknownKey
    return Admission.Granted(team)
}

/** The pool that runs a request of [route]; requests are spread over the pools by their weights. */
internal fun poolOf(
    route: ServingRoute,
    seed: Long,
): String? {
    val total = route.pools.sumOf { it.weight }
    if (total <= 0) return route.pools.firstOrNull()?.pool
    var rest = Math.floorMod(seed, total.toLong())
    for (share in route.pools) {
        if (rest < share.weight) return share.pool
        rest -= share.weight
    }
    return null
}
