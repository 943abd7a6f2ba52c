/**
 * Orders engines from the platform while this instance holds the control lease. The platform counts per group and tells
 * nothing, so that the lists of engines are the only evidence. An order whose answer was lost may be carried out later,
 * also after a newer one: the target of a group is repeated until the lists show it, and it never falls below the
 * number of engines that the group had of late, unless engines are given back on purpose.
 */
package org.mulberrypin.decisions.capacity

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.decisions.supply.ServerGroup

/** Applies an event at [nowMilliseconds] by the clock of this process. */
public fun decideCapacity(
    state: CapacityState,
    event: CapacityEvent,
    nowMilliseconds: Long,
): Transition<CapacityState, CapacityEffect> =
    when (event) {
        is CapacityEvent.ListsChanged -> Transition(state.followLists(event, nowMilliseconds))
        is CapacityEvent.OrderAnswered -> state.recordAnswer(event)
        is CapacityEvent.Tick -> state.tick(event, nowMilliseconds)
    }

private fun CapacityState.followLists(
    event: CapacityEvent.ListsChanged,
    nowMilliseconds: Long,
): CapacityState =
    copy(
        pools = event.pools.associate { listed ->
            val known = pools[listed.name] ?: PoolCapacity(listed.name, listed.models, listed.limits)
            listed.name to known.followed(listed, orders.filterKeys { it.pool == listed.name }, nowMilliseconds)
        },
    )

private fun CapacityState.recordAnswer(
    event: CapacityEvent.OrderAnswered,
): Transition<CapacityState, CapacityEffect> {
    val order = orders[event.group]?.takeIf { it.target == event.target } ?: return Transition(this)
    val explanation = explain(event.group, "order answered", "answer=${event.answer} ${event.detail}")
    return Transition(copy(orders = orders + (event.group to order.copy(answer = event.answer))), listOf(explanation))
}

private fun CapacityState.tick(
    event: CapacityEvent.Tick,
    nowMilliseconds: Long,
): Transition<CapacityState, CapacityEffect> {
    val token = event.fencingNumber ?: return Transition(copy(heldSinceMilliseconds = null, orders = emptyMap()))
    val since = heldSinceMilliseconds ?: nowMilliseconds
    val next = copy(
        demand = event.demand,
        heldSinceMilliseconds = since,
        orderTimes = orderTimes.filter { nowMilliseconds - it < MINUTE_MILLISECONDS },
        orders = orders.filter { (_, order) ->
            order.answer == EngineOrderAnswer.UNKNOWN ||
                nowMilliseconds - order.sinceMilliseconds < ORDER_MEMORY_MILLISECONDS
        },
    )
    if (mode == CapacityMode.OFF || nowMilliseconds - since < WATCH_MILLISECONDS) return Transition(next)
    return next.decideEach(next.pools.keys) { state, pool -> state.reviewPool(pool, token, nowMilliseconds) }
}

private fun CapacityState.reviewPool(
    name: String,
    token: Long,
    nowMilliseconds: Long,
): Transition<CapacityState, CapacityEffect> {
    val pool = pools.getValue(name).reviewed(nowMilliseconds)
    val next = copy(pools = pools + (name to pool))
    val serving = pool.serving()
    val coming = next.comingEngines(pool, nowMilliseconds)
    val terms = Terms(next.wantedEngines(pool, nowMilliseconds), token, nowMilliseconds)
    val missing = terms.wanted - serving.values.sum() - coming.values.sum()
    return when {
        missing > 0 -> next.add(pool, missing, coming, terms)
        else -> next.giveBack(pool, terms)
    }.andThen { it.repeatOrders(pool, token, nowMilliseconds) }
}

/** The wanted number of engines, the fencing token to order with, and the time. */
private data class Terms(
    val wanted: Int,
    val token: Long,
    val nowMilliseconds: Long,
)

/** Notes since when engines are missing. Those that are reclaimed do not return by themselves. */
private fun PoolCapacity.reviewed(nowMilliseconds: Long): PoolCapacity {
    val isShort = serving().values.sum() < expected
    return copy(shortSinceMilliseconds = if (isShort) shortSinceMilliseconds ?: nowMilliseconds else null)
}

private fun CapacityState.wantedEngines(
    pool: PoolCapacity,
    nowMilliseconds: Long,
): Int {
    val present = pool.serving().values.sum()
    val reclaimed = pool.engines.values.any { it.leaving && it.reclaimable }
    val shortSince = pool.shortSinceMilliseconds
    val isLasting = shortSince != null && nowMilliseconds - shortSince >= RETURN_MILLISECONDS
    val replacing = if (reclaimed || isLasting) pool.expected else minOf(present, pool.expected)
    val needed = if (mode == CapacityMode.DEMAND) pool.neededEngines(demand) else null
    return needed ?: replacing
}

/** Engines that were ordered and that the lists cannot show yet, by group. */
private fun CapacityState.comingEngines(
    pool: PoolCapacity,
    nowMilliseconds: Long,
): Map<ServerGroup, Int> {
    val serving = pool.serving()
    return orders
        .filter { (group, order) ->
            group.pool == pool.name && order.added > 0 && !order.hasFailed(pool, nowMilliseconds)
        }.mapValues { (group, order) -> (order.target - (serving[group] ?: 0)).coerceIn(0, order.added) }
}

/**
 * Whether the platform has no such engines, or did not supply them after a repeat either. An order whose answer was
 * lost may still be carried out, so that none is placed elsewhere for it.
 */
private fun EngineOrder.hasFailed(
    pool: PoolCapacity,
    nowMilliseconds: Long,
): Boolean = answer == EngineOrderAnswer.UNAVAILABLE || (repeats > 0 && isOverdue(pool, nowMilliseconds))

/** Whether the platform accepted the order and the engines should have been listed. */
private fun EngineOrder.isOverdue(
    pool: PoolCapacity,
    nowMilliseconds: Long,
): Boolean =
    answer == EngineOrderAnswer.ACCEPTED &&
        nowMilliseconds - sinceMilliseconds >= pool.limits.bootMilliseconds + BOOT_MARGIN_MILLISECONDS

private fun CapacityState.add(
    pool: PoolCapacity,
    engines: Int,
    coming: Map<ServerGroup, Int>,
    terms: Terms,
): Transition<CapacityState, CapacityEffect> {
    val present = pool.serving().summedWith(coming)
    val isOpen = { group: ServerGroup ->
        val hasFailed = orders[group]?.hasFailed(pool, terms.nowMilliseconds) ?: false
        val isReclaimed = group.reclaimable && pool.highestOf(group) > (present[group] ?: 0)
        !hasFailed && !isReclaimed
    }
    // Engines that vanished are asked for where they were: if one of them returns after all, the number stays right.
    val restored = pool.lostOrdinary(present, engines).filterKeys(isOpen)
    val placed = pool.placements(engines - restored.values.sum(), present.summedWith(restored), isOpen)
    val added = restored.summedWith(placed)
    return decideEach(added.entries) { state, (group, count) ->
        val standing = present[group] ?: 0
        val target = minOf(maxOf(standing + count, pool.highestOf(group)), pool.roomFor(group))
        if (target <= standing) Transition(state) else state.order(group, target, count + (coming[group] ?: 0), terms)
    }
}

private fun Map<ServerGroup, Int>.summedWith(other: Map<ServerGroup, Int>): Map<ServerGroup, Int> =
    (keys + other.keys).associateWith { (this[it] ?: 0) + (other[it] ?: 0) }

/** Gives engines back, a few at a time, once the demand has asked for far fewer for some time. */
private fun CapacityState.giveBack(
    pool: PoolCapacity,
    terms: Terms,
): Transition<CapacityState, CapacityEffect> {
    val serving = pool.serving()
    val total = serving.values.sum()
    val surplus = total - Math.ceil(terms.wanted * SURPLUS_RATIO).toInt()
    val isOrdering = orders.keys.any { it.pool == pool.name }
    val isPlain = mode != CapacityMode.DEMAND || pool.neededEngines(demand) == null
    val since = pool.surplusSinceMilliseconds
    return when {
        surplus <= 0 || isOrdering || isPlain -> {
            Transition(copy(pools = pools + (pool.name to pool.copy(surplusSinceMilliseconds = null))))
        }

        since == null -> {
            val noted = pool.copy(surplusSinceMilliseconds = terms.nowMilliseconds)
            Transition(copy(pools = pools + (pool.name to noted)))
        }

        terms.nowMilliseconds - since < SURPLUS_MILLISECONDS -> {
            Transition(this)
        }

        else -> {
            val dearest = pool.offers().lastOrNull { (serving[it.group] ?: 0) > pool.limits.minimum }?.group
            val removed = minOf(surplus, maxOf(1, total / MAX_REMOVED_DIVISOR))
            val count = serving[dearest] ?: 0
            val target = maxOf(count - removed, pool.limits.minimum)
            if (dearest == null) Transition(this) else order(dearest, target, target - count, terms)
        }
    }
}

/** Repeats orders whose answers were lost, or whose engines the lists do not show in time. */
private fun CapacityState.repeatOrders(
    pool: PoolCapacity,
    token: Long,
    nowMilliseconds: Long,
): Transition<CapacityState, CapacityEffect> {
    val serving = pool.serving()
    val due = orders.filter { (group, order) ->
        val count = serving[group] ?: 0
        val isShown = if (order.added > 0) count >= order.target else count <= order.target
        val isLost = order.answer == EngineOrderAnswer.UNKNOWN
        val isOverdue = order.repeats == 0 && order.isOverdue(pool, nowMilliseconds)
        group.pool == pool.name && !isShown && (isLost || isOverdue)
    }
    return decideEach(due.entries) { state, (group, order) ->
        state.order(group, order.target, order.added, Terms(order.target, token, nowMilliseconds))
    }
}

private fun CapacityState.order(
    group: ServerGroup,
    target: Int,
    added: Int,
    terms: Terms,
): Transition<CapacityState, CapacityEffect> {
    val pool = pools.getValue(group.pool)
    val last = orders[group]
    val isRecent = last != null && terms.nowMilliseconds - last.sentMilliseconds < REPEAT_MILLISECONDS
    val isWithinRate = orderTimes.size < MAX_ORDERS_PER_MINUTE
    if (isRecent || !isWithinRate) return Transition(this)
    val work = pool.models.sumOf { demand[it]?.work ?: 0.0 }.toLong()
    val price = pool.offers().firstOrNull { it.group == group }?.price
    val inputs = "wanted=${terms.wanted} expected=${pool.expected} serving=${pool.serving().values.sum()} " +
        "target=$target added=$added reclaimable=${group.reclaimable} price=$price demand=$work/s token=${terms.token}"
    val order = orderAfter(last, target, added, terms.nowMilliseconds)
    return Transition(
        copy(orders = orders + (group to order), orderTimes = orderTimes + terms.nowMilliseconds),
        listOf(explain(group, "engines ordered", inputs), CapacityEffect.Order(group, target, terms.token)),
    )
}

private fun orderAfter(
    last: EngineOrder?,
    target: Int,
    added: Int,
    nowMilliseconds: Long,
): EngineOrder {
    val fresh = EngineOrder(target, added, nowMilliseconds, nowMilliseconds)
    return when {
        last?.target != target -> fresh
        last.answer == EngineOrderAnswer.ACCEPTED -> fresh.copy(repeats = last.repeats + 1)
        else -> fresh.copy(sinceMilliseconds = last.sinceMilliseconds, repeats = last.repeats)
    }
}

private fun explain(
    group: ServerGroup,
    decision: String,
    inputs: String,
) = CapacityEffect.Explain("${group.pool}/${group.failureDomain}", decision, inputs)

/** Time for which a new holder reads lists and demand before it orders, in milliseconds. */
private const val WATCH_MILLISECONDS = 6_000L

/** Time within which a crashed engine usually returns by itself, in milliseconds. */
private const val RETURN_MILLISECONDS = 8_000L

/** Time beyond the boot time within which an ordered engine is listed, in milliseconds. */
private const val BOOT_MARGIN_MILLISECONDS = 4_000L

/** Time after which an order whose answer was lost is repeated, in milliseconds; it may still be carried out then. */
private const val REPEAT_MILLISECONDS = 4_000L

/** Time for which an order is remembered, and for which a group without engines is not asked again, in milliseconds. */
private const val ORDER_MEMORY_MILLISECONDS = 20_000L
private const val MAX_ORDERS_PER_MINUTE = 12
private const val MINUTE_MILLISECONDS = 60_000L

/** Engines beyond this multiple of the need are given back. */
private const val SURPLUS_RATIO = 1.3

/** Time for which engines must have been too many, in milliseconds: some steps. */
private const val SURPLUS_MILLISECONDS = 16_000L

/** At most one in this many engines is given back at a time. */
private const val MAX_REMOVED_DIVISOR = 8
