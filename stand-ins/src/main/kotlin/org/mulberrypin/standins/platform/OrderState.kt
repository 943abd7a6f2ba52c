/** Orders for backend servers: idempotent by name, with an expiry, and fenced in pools that check fencing numbers. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer

/**
 * @property answers the response to each order, by order name
 * @property fencingNumbers highest fencing number of the accepted orders, by pool
 * @property exhaustedFailureDomains failure domains without available reclaimable backend servers
 */
internal data class OrderState(
    val answers: PersistentMap<String, BackendServerOrderAnswer> = persistentMapOf(),
    val fencingNumbers: PersistentMap<String, Long> = persistentMapOf(),
    val exhaustedFailureDomains: Set<String> = emptySet(),
)

/**
 * @property state the state after the order
 * @property answer the response to the client
 */
internal data class OrderTransition(
    val state: OrderState,
    val answer: BackendServerOrderAnswer,
)

/**
 * Accepts [order] unless it has expired, its fencing number is outdated, or it wants reclaimable backend servers in an
 * exhausted failure domain. A repeated order name gets the response to the first order of that name.
 */
internal fun OrderState.send(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): OrderTransition {
    val earlier = answers[order.name]
    if (earlier != null) return OrderTransition(this, earlier)
    val refusal = refusalReason(order, options, nowWallMilliseconds)
    val answer = if (refusal == null) accept(order, options) else BackendServerOrderAnswer(reason = refusal)
    return OrderTransition(record(order, answer), answer)
}

private fun OrderState.refusalReason(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): String? {
    val highest = fencingNumbers[order.pool] ?: 0
    val expires = order.expiresWallMilliseconds
    return when {
        expires in 1..<nowWallMilliseconds -> {
            "The order expired at $expires ms, and the current time is $nowWallMilliseconds ms."
        }

        order.pool in options.fencingPools && order.fencingNumber < highest -> {
            "The order has fencing number ${order.fencingNumber}, expected $highest or higher."
        }

        order.reclaimable && order.wanted > 0 && order.failureDomain in exhaustedFailureDomains -> {
            "No reclaimable backend server is available in failure domain ${order.failureDomain}."
        }

        else -> {
            null
        }
    }
}

private fun accept(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
): BackendServerOrderAnswer {
    val matching = options.backendServers[order.pool].orEmpty().filter { server ->
        server.failureDomain == order.failureDomain && server.reclaimable == order.reclaimable
    }
    return BackendServerOrderAnswer(accepted = true, backendServers = matching.take(order.wanted))
}

private fun OrderState.record(
    order: BackendServerOrder,
    answer: BackendServerOrderAnswer,
): OrderState {
    val highest = maxOf(fencingNumbers[order.pool] ?: 0, order.fencingNumber)
    return copy(
        answers = answers.put(order.name, answer),
        fencingNumbers = if (answer.accepted) fencingNumbers.put(order.pool, highest) else fencingNumbers,
    )
}
