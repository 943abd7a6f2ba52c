/** Finds invalid values, duplicates and references to missing entries in the configuration of a deployment. */
package org.mulberrypin.decisions.checks

import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingPool
import org.mulberrypin.schema.generated.ServingRoute
import org.mulberrypin.schema.generated.ServingTeam

internal fun findServingErrors(configuration: ServingConfiguration): List<ConfigurationFinding> {
    val pools = configuration.pools.mapTo(HashSet()) { it.name }
    return listOfNotNull(error("version", "1 or more", configuration.version) { configuration.version >= 1 }) +
        findRepeatedNames("route", configuration.routes.map { it.name }) +
        findRepeatedNames("pool", configuration.pools.map { it.name }) +
        findRepeatedNames("team", configuration.teams.map { it.name }) +
        configuration.routes.flatMap { findRouteErrors(it, pools) } +
        configuration.pools.flatMap(::findPoolErrors) +
        configuration.teams.flatMap(::findTeamErrors)
}

private fun findRepeatedNames(
    subject: String,
    names: List<String>,
): List<ConfigurationFinding> =
    names
        .groupingBy { it }
        .eachCount()
        .filter { it.value > 1 }
        .map { (name, count) -> errorAt("$subject '$name'.name", "a name that occurs once", "it $count times") }

private fun findRouteErrors(
    route: ServingRoute,
    pools: Set<String>,
): List<ConfigurationFinding> {
    val place = "route '${route.name}'"
    val unknownPools = route.pools.filter { it.pool !in pools }
    val negativeWeights = route.pools.filter { it.weight < 0 }
    return listOfNotNull(
        error("$place.name", "a name", route.name) { route.name.isNotEmpty() },
        error("$place.host", "a host", route.host) { route.host.isNotEmpty() },
        error("$place.path_prefix", "a path that begins and ends with a slash", route.pathPrefix) {
            route.pathPrefix.startsWith('/') && route.pathPrefix.endsWith('/')
        },
        error("$place.pools", "at least one pool", "none") { route.pools.isNotEmpty() },
        error("$place.timeout_milliseconds", "0 or more", route.timeoutMilliseconds) { route.timeoutMilliseconds >= 0 },
        error("$place.objective_milliseconds", "0 or more", route.objectiveMilliseconds) {
            route.objectiveMilliseconds >= 0
        },
        error("$place.priority", "0 or more", route.priority) { route.priority >= 0 },
        error("$place.attempt_limit", "1 or more", route.attemptLimit) { route.attemptLimit >= 1 },
    ) + unknownPools.map { errorAt("$place.pools", "the name of a pool", "'${it.pool}'") } +
        negativeWeights.map { errorAt("$place.pools", "a weight of 0 or more for '${it.pool}'", "${it.weight}") }
}

private fun findPoolErrors(pool: ServingPool): List<ConfigurationFinding> {
    val place = "pool '${pool.name}'"
    val supply = pool.supply
    return listOfNotNull(
        error("$place.name", "a name", pool.name) { pool.name.isNotEmpty() },
        error("$place.models", "each model once", pool.models) { pool.models.toSet().size == pool.models.size },
        error("$place.cold_requests_per_second", "0 or more", pool.coldRequestsPerSecond) {
            pool.coldRequestsPerSecond >= 0
        },
        error("$place.supply.minimum", "0 or more", supply?.minimum) { supply == null || supply.minimum >= 0 },
        error("$place.supply.reclaimable_price_share", "0 to 1", supply?.reclaimablePriceShare) {
            supply == null || supply.reclaimablePriceShare in 0.0..1.0
        },
    ) + supply?.prices.orEmpty().filter { it.price < 0 }.map {
        errorAt("$place.supply.prices", "0 or more for '${it.failureDomain}'", "${it.price}")
    }
}

private fun findTeamErrors(team: ServingTeam): List<ConfigurationFinding> {
    val place = "team '${team.name}'"
    val priority = team.priority
    return listOfNotNull(
        error("$place.name", "a name", team.name) { team.name.isNotEmpty() },
        error("$place.keys", "no empty key", "one") { team.keys.none { it.isEmpty() } },
        error("$place.priority", "0 or more", priority) { priority == null || priority >= 0 },
    )
}

private fun error(
    place: String,
    expected: String,
    found: Any?,
    isValid: () -> Boolean,
): ConfigurationFinding? = if (isValid()) null else errorAt(place, expected, "'$found'")

private fun errorAt(
    place: String,
    expected: String,
    found: String,
): ConfigurationFinding = ConfigurationFinding(FindingKind.ERROR, place, "expected $expected, found $found")
