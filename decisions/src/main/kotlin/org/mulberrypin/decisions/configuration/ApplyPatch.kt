/**
 * Applies patches to the versioned configuration. A patch submitted by an operator is validated in full; a patch that
 * was accepted before is applied without validation, so that all instances reach the same configuration even while two
 * releases with different validation rules run side by side.
 */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ModelVersion

/** Validates [patch] against [configuration] and applies it. */
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

/** Applies [patch] without validation and increments the version. */
public fun applyChanges(
    configuration: Configuration,
    patch: ConfigurationPatch,
): Configuration = patch.changes.fold(configuration, ::applyChange).copy(version = configuration.version + 1)

/** Name that identifies a model version in patches, as model@version. */
public fun modelVersionName(entry: ModelVersion): String = "${entry.model}@${entry.version}"

private fun applyChange(
    configuration: Configuration,
    change: ConfigurationChange,
): Configuration =
    when (change.subject) {
        ChangeSubject.TEAM -> configuration.copy(teams = change.applyTo(configuration.teams, change.team) { it.name })

        ChangeSubject.KEY -> configuration.copy(keys = change.applyTo(configuration.keys, change.key) { it.name })

        ChangeSubject.ROUTE -> configuration.copy(
            routes = change.applyTo(configuration.routes, change.route) { it.name },
        )

        ChangeSubject.POOL -> configuration.copy(pools = change.applyTo(configuration.pools, change.pool) { it.name })

        ChangeSubject.MODEL_VERSION -> configuration.copy(
            modelVersions = change.applyTo(configuration.modelVersions, change.modelVersion, ::modelVersionName),
        )

        ChangeSubject.BUDGET -> configuration.copy(
            budgetCentsPerHour = change.budgetCentsPerHour ?: configuration.budgetCentsPerHour,
        )
    }

private fun <Entry : Any> ConfigurationChange.applyTo(
    entries: List<Entry>,
    entry: Entry?,
    nameOf: (Entry) -> String,
): List<Entry> =
    when (kind) {
        ChangeKind.PUT -> if (entry == null) entries else entries.filter { nameOf(it) != name } + entry
        ChangeKind.REMOVE -> entries.filter { nameOf(it) != name }
    }
