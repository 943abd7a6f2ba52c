/** Finds what differs between two versions of a configuration, entry by entry and field by field. */
package org.mulberrypin.decisions.checks

/** Differences from [before], the version in force, to [after]; in the order of the entries, removed ones last. */
public fun compareConfigurations(
    before: List<ConfigurationEntry>,
    after: List<ConfigurationEntry>,
): List<ConfigurationDifference> {
    val previous = before.associateBy { it.place }
    val next = after.associateBy { it.place }
    val changed = after.flatMap { entry -> compareEntry(previous[entry.place], entry) }
    val removed = before.filter { it.place !in next }
    return changed + removed.map { ConfigurationDifference(it.place, textOf(it), null) }
}

private fun compareEntry(
    before: ConfigurationEntry?,
    after: ConfigurationEntry,
): List<ConfigurationDifference> {
    if (before == null) return listOf(ConfigurationDifference(after.place, null, textOf(after)))
    return (before.fields.keys + after.fields.keys)
        .filter { before.fields[it] != after.fields[it] }
        .map { ConfigurationDifference("${after.place}.$it", before.fields[it].orEmpty(), after.fields[it].orEmpty()) }
}

private fun textOf(entry: ConfigurationEntry): String =
    entry.fields.entries.joinToString(" ") { (field, value) -> "$field=$value" }
