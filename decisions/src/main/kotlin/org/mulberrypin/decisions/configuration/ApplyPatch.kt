/**
 * Applies patches to the numbered configuration. A patch that an operator sends is checked in full; a patch that was
 * accepted before is applied without checks, so that all instances come to the same configuration even while two
 * versions of the program with different checks run side by side.
 */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ModelVersion

/** Checks [patch] against [configuration] and applies it. */
public fun applyPatch(
    configuration: Configuration,
    patch: ConfigurationPatch,
): PatchOutcome {
    if (patch.expectedVersion != configuration.version) {
        return PatchOutcome.Stale(patch.expectedVersion, configuration.version)
    }
    val next = applyChanges(configuration, patch)
    val faults = findChangeFaults(configuration, patch) + findReferenceFaults(next)
    return if (faults.isEmpty()) PatchOutcome.Accepted(next) else PatchOutcome.Invalid(faults)
}

/** Applies [patch] without checks; the version grows by one. */
public fun applyChanges(
    configuration: Configuration,
    patch: ConfigurationPatch,
): Configuration = patch.changes.fold(configuration, ::applyChange).copy(version = configuration.version + 1)

/** The name of a model version in patches. */
public fun modelVersionName(entry: ModelVersion): String = "${entry.model}@${entry.version}"

private fun applyChange(
    configuration: Configuration,
    change: ConfigurationChange,
): Configuration =
    when (change.subject) {
        ChangeSubject.TEAM -> configuration.copy(teams = change.on(configuration.teams, change.team) { it.name })

        ChangeSubject.KEY -> configuration.copy(keys = change.on(configuration.keys, change.key) { it.name })

        ChangeSubject.ROUTE -> configuration.copy(routes = change.on(configuration.routes, change.route) { it.name })

        ChangeSubject.POOL -> configuration.copy(pools = change.on(configuration.pools, change.pool) { it.name })

        ChangeSubject.MODEL_VERSION -> configuration.copy(
            modelVersions = change.on(configuration.modelVersions, change.modelVersion, ::modelVersionName),
        )

        ChangeSubject.BUDGET -> configuration.copy(
            budgetCentsPerHour = change.budgetCentsPerHour ?: configuration.budgetCentsPerHour,
        )
    }

private fun <Entry : Any> ConfigurationChange.on(
    entries: List<Entry>,
    entry: Entry?,
    nameOf: (Entry) -> String,
): List<Entry> =
    when (kind) {
        ChangeKind.PUT -> if (entry == null) entries else entries.filter { nameOf(it) != name } + entry
        ChangeKind.REMOVE -> entries.filter { nameOf(it) != name }
    }
