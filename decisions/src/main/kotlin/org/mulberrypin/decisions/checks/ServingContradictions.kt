/** Finds limits of a deployment's configuration that contradict each other. */
package org.mulberrypin.decisions.checks

import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingPool
import org.mulberrypin.schema.generated.ServingRoute

internal fun findServingContradictions(configuration: ServingConfiguration): List<ConfigurationFinding> =
    configuration.routes.flatMap(::findRouteContradictions) + configuration.pools.flatMap(::findPoolContradictions)

private fun findRouteContradictions(route: ServingRoute): List<ConfigurationFinding> {
    val place = "route '${route.name}'"
    val timeout = route.timeoutMilliseconds
    val objective = route.objectiveMilliseconds
    val attempts = route.attemptLimit
    val isRollout = route.kind == RequestKind.ROLLOUT
    val hasExpiry = isRollout && route.taskExpiryMilliseconds > 0
    return listOfNotNull(
        contradiction(
            "$place.objective_milliseconds",
            "the objective of $objective ms is over the timeout of $timeout ms",
        ) { timeout in 1 until objective },
        contradiction(
            "$place.attempt_limit",
            "$attempts attempts of the objective of $objective ms are over the timeout of $timeout ms",
        ) { !isRollout && attempts > 1 && timeout in objective until objective * attempts },
        contradiction(
            "$place.task_expiry_milliseconds",
            "tasks expire after ${route.taskExpiryMilliseconds} ms, results are due after " +
                "${route.resultsDueMilliseconds} ms",
        ) { hasExpiry && route.taskExpiryMilliseconds < route.resultsDueMilliseconds },
        contradiction("$place.pools", "all weights are 0") {
            route.pools.isNotEmpty() && route.pools.all { it.weight == 0 }
        },
        contradiction("$place.resumable", "only a stream can be resumed, the route is of kind ${route.kind}") {
            route.resumable && route.kind in listOf(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)
        },
    )
}

private fun findPoolContradictions(pool: ServingPool): List<ConfigurationFinding> {
    val place = "pool '${pool.name}'"
    val supply = pool.supply
    return listOfNotNull(
        contradiction("$place.supply", "the minimum of ${supply?.minimum} is over the maximum of ${supply?.maximum}") {
            supply != null && supply.minimum > supply.maximum
        },
        contradiction("$place.supply.prices", "engines can be ordered, but no failure domain has a price") {
            supply != null && supply.maximum > 0 && supply.prices.isEmpty()
        },
        contradiction(
            "$place.cold_requests_per_second",
            "servers are cold for ${pool.coldMilliseconds} ms without a rate that they tolerate",
        ) { pool.coldMilliseconds > 0 && pool.coldRequestsPerSecond == 0.0 },
    )
}

private fun contradiction(
    place: String,
    detail: String,
    exists: () -> Boolean,
): ConfigurationFinding? = if (exists()) ConfigurationFinding(FindingKind.CONTRADICTION, place, detail) else null
