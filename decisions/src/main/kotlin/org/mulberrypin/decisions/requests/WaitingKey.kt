package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.RoutePriority

/**
 * The queue in which a request waits.
 *
 * @property resumed true for requests whose earlier attempt ended; they go before new ones of the same team
 */
public data class WaitingKey(
    val pool: String,
    val priority: RoutePriority,
    val team: String,
    val resumed: Boolean,
)
