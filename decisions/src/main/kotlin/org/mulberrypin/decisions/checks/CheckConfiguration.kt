/** Checks a whole configuration: that of a deployment, or that of the product's own interface. */
package org.mulberrypin.decisions.checks

import org.mulberrypin.decisions.configuration.PatchOutcome
import org.mulberrypin.decisions.configuration.applyPatch
import org.mulberrypin.decisions.configuration.modelVersionName
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ServingConfiguration

/** Findings about the configuration of a deployment: errors first, then entries without effect, then contradictions. */
public fun checkConfiguration(configuration: ServingConfiguration): List<ConfigurationFinding> =
    findServingErrors(configuration) +
        findUnmatchedServingEntries(configuration) +
        findServingContradictions(configuration)

/**
 * Findings about [patch] applied to [inForce]. Its errors are those for which the service refuses the patch; a patch
 * with errors is not checked further.
 */
public fun checkPatch(
    inForce: Configuration,
    patch: ConfigurationPatch,
): List<ConfigurationFinding> =
    when (val outcome = applyPatch(inForce, patch)) {
        is PatchOutcome.Accepted -> findUnmatchedEntries(outcome.configuration) +
            findContradictions(outcome.configuration)

        is PatchOutcome.Invalid -> outcome.faults.map(::errorOf)

        is PatchOutcome.Stale -> listOf(staleVersion(outcome))
    }

private fun errorOf(fault: String): ConfigurationFinding =
    ConfigurationFinding(FindingKind.ERROR, fault.substringBefore(": "), fault.substringAfter(": "))

private fun staleVersion(outcome: PatchOutcome.Stale): ConfigurationFinding =
    ConfigurationFinding(
        FindingKind.ERROR,
        "expected_version",
        "expected ${outcome.currentVersion}, the version in force, found ${outcome.expectedVersion}",
    )

private fun findUnmatchedEntries(configuration: Configuration): List<ConfigurationFinding> {
    val routedPools = configuration.routes.mapTo(HashSet()) { it.pool }
    val teamsWithKeys = configuration.keys.mapTo(HashSet()) { it.team }
    val poolModels = configuration.pools.mapTo(HashSet()) { it.model }
    return configuration.pools
        .filter { it.name !in routedPools }
        .map { unmatched("pool '${it.name}'", "no route names the pool") } +
        configuration.teams
            .filter { it.name !in teamsWithKeys }
            .map { unmatched("team '${it.name}'", "no key belongs to the team") } +
        configuration.routes
            .filter { route -> route.teams.isNotEmpty() && route.teams.none { it in teamsWithKeys } }
            .map { unmatched("route '${it.name}'", "none of its teams has a key") } +
        configuration.modelVersions
            .filter { it.model !in poolModels }
            .map { unmatched("model_version '${modelVersionName(it)}'", "no pool loads the model") }
}

private fun findContradictions(configuration: Configuration): List<ConfigurationFinding> {
    val total = configuration.budgetCentsPerHour
    val overBudget = configuration.teams.filter { total > 0 && it.budgetCentsPerHour > total }
    val withoutTarget = configuration.teams.filter { it.objectivePerMille > 0 && it.targetMilliseconds <= 0 }
    val withoutServers = configuration.pools.filter { pool ->
        pool.backendServers.isNotEmpty() && pool.backendServers.all { it.leaving }
    }
    return overBudget.map {
        contradiction("team '${it.name}'.budget_cents_per_hour", "${it.budgetCentsPerHour} is over the total of $total")
    } + withoutTarget.map {
        contradiction("team '${it.name}'.target_milliseconds", "an objective without a target has no effect")
    } + withoutServers.map {
        contradiction("pool '${it.name}'", "all of its backend servers are leaving")
    }
}

private fun unmatched(
    place: String,
    detail: String,
): ConfigurationFinding = ConfigurationFinding(FindingKind.NEVER_MATCHES, place, detail)

private fun contradiction(
    place: String,
    detail: String,
): ConfigurationFinding = ConfigurationFinding(FindingKind.CONTRADICTION, place, detail)
