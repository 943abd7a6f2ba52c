/** Requests to the plain service stand-in and the count of their executions. */
package org.mulberrypin.standins.plainservice

import kotlinx.collections.immutable.PersistentMap

/** A request to the plain service stand-in, reduced to the identifier that its executions are counted by. */
internal data class PlainRequest(
    val identifier: String,
)

/** Counts one execution under [identifier] and forgets the oldest identifier beyond [limit]. */
internal fun PersistentMap<String, Int>.count(
    identifier: String,
    limit: Int,
): PersistentMap<String, Int> {
    val counted = put(identifier, getOrDefault(identifier, 0) + 1)
    return if (counted.size > limit) counted.remove(counted.keys.first()) else counted
}
