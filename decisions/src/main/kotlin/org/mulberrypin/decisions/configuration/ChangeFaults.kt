package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch

/** Validates each change of [patch] on its own; references between entries are validated separately. */
internal fun findChangeFaults(
    configuration: Configuration,
    patch: ConfigurationPatch,
): List<String> {
    val missing = if (patch.changes.isEmpty()) listOf("changes: expected at least one, found none") else emptyList()
    val faults = patch.changes.flatMapIndexed { index, change ->
        findFaults(configuration, patch.changes.take(index), change).map { "changes[$index].$it" }
    }
    return missing + faults
}

private fun findFaults(
    configuration: Configuration,
    earlierChanges: List<ConfigurationChange>,
    change: ConfigurationChange,
): List<String> =
    when {
        change.subject == ChangeSubject.BUDGET -> findBudgetFaults(change)
        change.kind == ChangeKind.PUT -> findPutFaults(change)
        isPresent(configuration, earlierChanges, change) -> emptyList()
        else -> listOf("name: expected an existing entry to remove, found '${change.name}'")
    }

private fun findBudgetFaults(change: ConfigurationChange): List<String> =
    when {
        change.kind == ChangeKind.REMOVE -> {
            listOf("kind: expected PUT for the budget, found REMOVE")
        }

        change.budgetCentsPerHour == null -> {
            listOf("budget_cents_per_hour: expected a number, found none")
        }

        change.budgetCentsPerHour!! < 0 -> {
            listOf("budget_cents_per_hour: expected 0 or more, found ${change.budgetCentsPerHour}")
        }

        else -> {
            emptyList()
        }
    }

private fun findPutFaults(change: ConfigurationChange): List<String> {
    val field = change.subject.name.lowercase()
    val entryName = entryName(change) ?: return listOf("$field: expected an entry to put, found none")
    return listOfNotNull(
        "name: expected a name, found an empty one".takeIf { change.name.isEmpty() },
        "$field: expected the name '${change.name}', found '$entryName'".takeIf { entryName != change.name },
    )
}

private fun entryName(change: ConfigurationChange): String? =
    when (change.subject) {
        ChangeSubject.TEAM -> change.team?.name
        ChangeSubject.KEY -> change.key?.name
        ChangeSubject.ROUTE -> change.route?.name
        ChangeSubject.POOL -> change.pool?.name
        ChangeSubject.MODEL_VERSION -> change.modelVersion?.let(::modelVersionName)
        ChangeSubject.BUDGET -> null
    }

private fun isPresent(
    configuration: Configuration,
    earlierChanges: List<ConfigurationChange>,
    change: ConfigurationChange,
): Boolean {
    val lastChange = earlierChanges.lastOrNull { it.subject == change.subject && it.name == change.name }
    if (lastChange != null) return lastChange.kind == ChangeKind.PUT
    return when (change.subject) {
        ChangeSubject.TEAM -> configuration.teams.any { it.name == change.name }
        ChangeSubject.KEY -> configuration.keys.any { it.name == change.name }
        ChangeSubject.ROUTE -> configuration.routes.any { it.name == change.name }
        ChangeSubject.POOL -> configuration.pools.any { it.name == change.name }
        ChangeSubject.MODEL_VERSION -> configuration.modelVersions.any { modelVersionName(it) == change.name }
        ChangeSubject.BUDGET -> true
    }
}
