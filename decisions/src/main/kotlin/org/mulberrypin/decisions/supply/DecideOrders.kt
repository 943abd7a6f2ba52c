/**
 * Decides how the process that holds a shard's lease orders backend servers, one order at a time.
 *
 * An order is written down, under the condition that the lease's row is unchanged, before it is sent; until its outcome
 * is known nothing else is ordered, and it counts as carried out where that costs more. A new holder waits until every
 * order that an earlier one may have begun to send has expired at the platform.
 */
package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.outlasted
import org.mulberrypin.schema.generated.OrderIntent

/** Decides an event of the process that orders for a shard. */
public fun decideOrders(
    state: OrderState,
    event: OrderEvent,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> =
    when (event) {
        is OrderEvent.Tick -> state.continueWork(event, nowMilliseconds)
        is OrderEvent.Loaded -> Transition(state.ended(event.attempt) { copy(row = event.row) })
        is OrderEvent.Written -> Transition(state.ended(event.attempt) { accept(it) })
        is OrderEvent.Answered -> Transition(state.ended(event.attempt) { learn(event, it, nowMilliseconds) })
        is OrderEvent.Failed -> Transition(state.ended(event.attempt) { startOver(it, nowMilliseconds) })
    }

private fun OrderState.ended(
    attempt: Long,
    next: OrderState.(OrderEffect) -> OrderState,
): OrderState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    return copy(outstanding = null).next(step.effect)
}

private fun OrderState.accept(effect: OrderEffect): OrderState {
    val written = (effect as? OrderEffect.Write)?.row ?: return this
    val pending = written.record.pending
        ?.order
        ?.name
    return copy(row = written.copy(version = written.version + 1), unsent = pending, answer = null)
}

private fun OrderState.learn(
    event: OrderEvent.Answered,
    effect: OrderEffect,
    nowMilliseconds: Long,
): OrderState {
    val expires = row
        ?.record
        ?.pending
        ?.order
        ?.expiresWallMilliseconds ?: 0
    val found = event.answer
    val expired = event.wallMilliseconds > expires + 2 * terms.wallDifferenceMilliseconds
    return when {
        found != null -> copy(answer = if (found.accepted) OrderAnswer.ACCEPTED else OrderAnswer.REFUSED)
        effect is OrderEffect.Ask && expired -> copy(answer = OrderAnswer.REFUSED)
        else -> copy(nextAskMilliseconds = nowMilliseconds + RETRY_MILLISECONDS)
    }
}

private fun OrderState.startOver(
    effect: OrderEffect,
    nowMilliseconds: Long,
): OrderState {
    val retryMilliseconds = nowMilliseconds + RETRY_MILLISECONDS
    val asksNext = effect is OrderEffect.Send || effect is OrderEffect.Ask
    val waiting = copy(unsent = null, nextAskMilliseconds = retryMilliseconds)
    return if (asksNext) waiting else waiting.copy(row = null, answer = null)
}

private fun OrderState.continueWork(
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> {
    val awaited = outstanding
    val lost = awaited != null && nowMilliseconds - awaited.sentMilliseconds >= LOST_ANSWER_MILLISECONDS
    return when {
        awaited != null && !lost -> Transition(this)

        event.lease == null -> Transition(OrderState(terms, attempts = attempts))

        awaited == null -> begin(event.lease, event, nowMilliseconds)

        else -> copy(
            outstanding = null,
        ).startOver(awaited.effect, nowMilliseconds).begin(event.lease, event, nowMilliseconds)
    }
}

private fun OrderState.begin(
    lease: LeaseHold,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> {
    val effect = nextEffect(lease, event, nowMilliseconds) ?: return Transition(this)
    val step = OrderStep(effect.attempt, nowMilliseconds, effect)
    return Transition(copy(outstanding = step, attempts = effect.attempt), listOf(effect))
}

private fun OrderState.nextEffect(
    lease: LeaseHold,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): OrderEffect? {
    val attempt = attempts + 1
    val known = row
    val rested = nowMilliseconds >= nextAskMilliseconds
    if (known == null) return OrderEffect.Load(attempt).takeIf { rested }
    val pending = known.record.pending
    return when {
        pending == null -> nextOrder(known, lease, event, nowMilliseconds)
        answer != null -> OrderEffect.Write(attempt, lease, settled(known, pending, answer))
        unsent == pending.order.name -> OrderEffect.Send(attempt, pending.order)
        else -> OrderEffect.Ask(attempt, pending.order.name).takeIf { rested }
    }
}

private fun OrderState.nextOrder(
    known: SupplyRow,
    lease: LeaseHold,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): OrderEffect? {
    if (!lease.outlasted(nowMilliseconds, terms.quietMilliseconds, terms.clockRateBound)) return null
    val change = nextChange(known.record, event.target) ?: return null
    val intent = intentOf(known.record, change, lease, event.wallMilliseconds + terms.orderLifeMilliseconds)
    val record = known.record.copy(shard = terms.shard, orders = known.record.orders + 1, pending = intent)
    return OrderEffect.Write(attempts + 1, lease, SupplyRow(known.version, record))
}

private fun settled(
    known: SupplyRow,
    pending: OrderIntent,
    answer: OrderAnswer,
): SupplyRow {
    val amounts = if (answer == OrderAnswer.ACCEPTED) amountsAfter(known.record, pending) else known.record.amounts
    return known.copy(record = known.record.copy(amounts = amounts, pending = null))
}

private const val RETRY_MILLISECONDS = 2_000L
private const val LOST_ANSWER_MILLISECONDS = 61_000L
