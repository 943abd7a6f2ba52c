package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/**
 * Identifies one of the queues in which requests wait for a backend server.
 *
 * @property resumed true for requests that are queued again after an earlier attempt; these are dispatched before new
 *   requests of the same team
 */
public data class QueueKey(
    val pool: String,
    val priority: RoutePriority,
    val team: String,
    val resumed: Boolean,
)
