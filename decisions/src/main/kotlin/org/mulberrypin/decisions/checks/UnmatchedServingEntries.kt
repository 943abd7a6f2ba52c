/** Finds valid entries of a deployment's configuration that no request can ever reach. */
package org.mulberrypin.decisions.checks

import org.mulberrypin.schema.generated.ServingConfiguration

internal fun findUnmatchedServingEntries(configuration: ServingConfiguration): List<ConfigurationFinding> =
    findShadowedRoutes(configuration) +
        findUnreachablePools(configuration) +
        findPoolsWithoutWeight(configuration) +
        findOverriddenKeys(configuration) +
        findRoutesWithoutKeys(configuration)

/** Of two routes with the same host and prefix, the first one gets all requests. */
private fun findShadowedRoutes(configuration: ServingConfiguration): List<ConfigurationFinding> =
    configuration.routes
        .groupBy { it.host to it.pathPrefix }
        .values
        .flatMap { routes ->
            val first = routes.first()
            routes.drop(1).map { unmatched("route '${it.name}'", "route '${first.name}' has the same host and prefix") }
        }

private fun findUnreachablePools(configuration: ServingConfiguration): List<ConfigurationFinding> {
    val routed = configuration.routes.flatMapTo(HashSet()) { route -> route.pools.map { it.pool } }
    return configuration.pools
        .filter { it.name !in routed }
        .map { unmatched("pool '${it.name}'", "no route names the pool") }
}

private fun findPoolsWithoutWeight(configuration: ServingConfiguration): List<ConfigurationFinding> =
    configuration.routes
        .filter { route -> route.pools.any { it.weight > 0 } }
        .flatMap { route ->
            route.pools.filter { it.weight == 0 }.map {
                unmatched("route '${route.name}'.pools", "pool '${it.pool}' has weight 0 beside pools with a weight")
            }
        }

/** Of two teams that hold the same key, requests with it run for the last one. */
private fun findOverriddenKeys(configuration: ServingConfiguration): List<ConfigurationFinding> =
    configuration.teams
        .flatMap { team -> team.keys.distinct().map { it to team.name } }
        .groupBy({ it.first }, { it.second })
        .values
        .flatMap { holders ->
            holders.dropLast(1).map { unmatched("team '$it'.keys", "team '${holders.last()}' holds the same key") }
        }

private fun findRoutesWithoutKeys(configuration: ServingConfiguration): List<ConfigurationFinding> {
    val requiresKeys = configuration.requiresKeys || configuration.teams.isNotEmpty()
    val needsKeys = requiresKeys && configuration.teams.all { it.keys.isEmpty() }
    if (!needsKeys) return emptyList()
    return configuration.routes
        .filter { !it.openToAll }
        .map { unmatched("route '${it.name}'", "it needs a key, and no team has one") }
}

private fun unmatched(
    place: String,
    detail: String,
): ConfigurationFinding = ConfigurationFinding(FindingKind.NEVER_MATCHES, place, detail)
