/** Orders for backend servers: idempotent by name, limited in time, and fenced in the pools that check it. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer

/**
 * @property answers the answer to each order, by the order's name
 * @property fencingNumbers highest fencing number of the orders carried out, by pool
 * @property exhaustedFailureDomains failure domains in which no reclaimable backend server is to be had
 */
internal data class OrderState(
    val answers: PersistentMap<String, BackendServerOrderAnswer> = persistentMapOf(),
    val fencingNumbers: PersistentMap<String, Long> = persistentMapOf(),
    val exhaustedFailureDomains: Set<String> = emptySet(),
)

/**
 * @property state the orders after this one
 * @property answer what the client is told
 */
internal data class OrderChange(
    val state: OrderState,
    val answer: BackendServerOrderAnswer,
)

/** Carries [order] out unless it was seen before, has expired by [nowWallMilliseconds], or is fenced off. */
internal fun OrderState.send(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): OrderChange {
    val known = answers[order.name]
    if (known != null) return OrderChange(this, known)
    val refusal = refusalOf(order, options, nowWallMilliseconds)
    val answer = if (refusal == null) accept(order, options) else BackendServerOrderAnswer(reason = refusal)
    return OrderChange(remember(order, answer), answer)
}

private fun OrderState.refusalOf(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): String? {
    val highest = fencingNumbers[order.pool] ?: 0
    val expires = order.expiresWallMilliseconds
    return when {
        expires in 1..<nowWallMilliseconds -> {
            "The order expired at $expires, and it is $nowWallMilliseconds."
        }

        order.pool in options.fencingPools && order.fencingNumber < highest -> {
            "Found fencing number ${order.fencingNumber}, expected $highest or higher."
        }

        order.reclaimable && order.wanted > 0 && order.failureDomain in exhaustedFailureDomains -> {
            "No reclaimable backend server is to be had in ${order.failureDomain}."
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

private fun OrderState.remember(
    order: BackendServerOrder,
    answer: BackendServerOrderAnswer,
): OrderState {
    val highest = maxOf(fencingNumbers[order.pool] ?: 0, order.fencingNumber)
    return copy(
        answers = answers.put(order.name, answer),
        fencingNumbers = if (answer.accepted) fencingNumbers.put(order.pool, highest) else fencingNumbers,
    )
}
