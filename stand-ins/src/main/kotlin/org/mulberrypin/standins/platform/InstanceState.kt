/** The list of instances, answered as it was some time ago. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * A change of the list.
 *
 * @property atMilliseconds time of the change by the clock of the stand-in
 * @property entry the instance as it was registered, or null when it was removed
 */
internal data class InstanceChange(
    val atMilliseconds: Long,
    val entry: InstanceEntry?,
)

/** The last changes of each instance, oldest first, by name. */
internal data class InstanceState(
    val changes: PersistentMap<String, List<InstanceChange>> = persistentMapOf(),
)

/** Adds a change of the instance named [name]; changes beyond the last few of a name are forgotten. */
internal fun InstanceState.change(
    name: String,
    change: InstanceChange,
): InstanceState = InstanceState(changes.put(name, (changes[name].orEmpty() + change).takeLast(CHANGES_OF_A_NAME)))

/** The list as it was at [atMilliseconds], in the order of names. */
internal fun InstanceState.listAt(atMilliseconds: Long): List<InstanceEntry> =
    changes.values
        .mapNotNull { ofName -> ofName.lastOrNull { it.atMilliseconds <= atMilliseconds }?.entry }
        .sortedBy { it.name }

private const val CHANGES_OF_A_NAME = 16
