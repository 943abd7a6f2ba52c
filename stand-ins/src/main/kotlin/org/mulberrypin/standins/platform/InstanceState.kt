/** The registered instances with their recent changes, so that the list can be read with a lag. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * A registration or removal of an instance.
 *
 * @property atMilliseconds clock time of the change, since the Unix epoch
 * @property entry the registered instance, or null for a removal
 */
internal data class InstanceChange(
    val atMilliseconds: Long,
    val entry: InstanceEntry?,
)

/** The most recent changes of each instance, oldest first, by name. */
internal data class InstanceState(
    val changes: PersistentMap<String, List<InstanceChange>> = persistentMapOf(),
)

/** Adds a change of the instance [name]; keeps its last [MAXIMUM_CHANGES_PER_INSTANCE] changes. */
internal fun InstanceState.change(
    name: String,
    change: InstanceChange,
): InstanceState =
    InstanceState(changes.put(name, (changes[name].orEmpty() + change).takeLast(MAXIMUM_CHANGES_PER_INSTANCE)))

/** The instances that were registered at [atMilliseconds], sorted by name. */
internal fun InstanceState.listAt(atMilliseconds: Long): List<InstanceEntry> =
    changes.values
        .mapNotNull { instanceChanges -> instanceChanges.lastOrNull { it.atMilliseconds <= atMilliseconds }?.entry }
        .sortedBy { it.name }

private const val MAXIMUM_CHANGES_PER_INSTANCE = 16
