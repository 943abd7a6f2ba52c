/** Requests to the plain service stand-in, and the number of their executions. */
package org.mulberrypin.standins.plainservice

import kotlinx.collections.immutable.PersistentMap

/** A request to the plain service stand-in; [identifier] is the key by which executions are counted. */
internal data class PlainRequest(
    val identifier: String,
)

/** Counts one execution of [identifier] and drops the oldest identifier if there are more than [limit]. */
internal fun PersistentMap<String, Int>.countExecution(
    identifier: String,
    limit: Int,
): PersistentMap<String, Int> {
    val counted = put(identifier, getOrDefault(identifier, 0) + 1)
    return if (counted.size > limit) counted.remove(counted.keys.first()) else counted
}
