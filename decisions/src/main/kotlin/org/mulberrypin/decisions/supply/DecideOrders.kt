/**
 * Orders backend servers from the platform, one order at a time, in the process that holds the shard's lease.
 *
 * Before an order is sent, it is stored on condition that the lease's row is unchanged. Until its outcome is known, no
 * other order is sent, and the budget is computed as if the more expensive outcome had occurred. A new lease holder
 * waits until every order that an earlier holder may have started to send has expired at the platform.
 */
package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.hasOutlastedEarlierHolders
import org.mulberrypin.schema.generated.OrderIntent

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideOrders(
    state: OrderState,
    event: OrderEvent,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> =
    when (event) {
        is OrderEvent.Tick -> state.advance(event, nowMilliseconds)

        is OrderEvent.Loaded -> Transition(state.endStep(event.attempt) { copy(row = event.row) })

        is OrderEvent.Written -> Transition(state.endStep(event.attempt) { applyWrite(it) })

        is OrderEvent.ResponseReceived -> Transition(
            state.endStep(event.attempt) { recordOutcome(event, it, nowMilliseconds) },
        )

        is OrderEvent.Failed -> Transition(state.endStep(event.attempt) { prepareRetry(it, nowMilliseconds) })
    }

private fun OrderState.endStep(
    attempt: Long,
    next: OrderState.(OrderEffect) -> OrderState,
): OrderState {
    val step = outstanding?.takeIf { it.attempt == attempt } ?: return this
    return copy(outstanding = null).next(step.effect)
}

private fun OrderState.applyWrite(effect: OrderEffect): OrderState {
    val written = (effect as? OrderEffect.Write)?.row ?: return this
    val pendingOrderName = written.record.pending
        ?.order
        ?.name
    return copy(row = written.copy(version = written.version + 1), unsentOrderName = pendingOrderName, outcome = null)
}

private fun OrderState.recordOutcome(
    event: OrderEvent.ResponseReceived,
    effect: OrderEffect,
    nowMilliseconds: Long,
): OrderState {
    val expiresWallMilliseconds = row
        ?.record
        ?.pending
        ?.order
        ?.expiresWallMilliseconds ?: 0
    val response = event.answer
    val expired = event.wallMilliseconds > expiresWallMilliseconds + 2 * limits.wallDifferenceMilliseconds
    return when {
        response != null -> copy(outcome = if (response.accepted) OrderOutcome.ACCEPTED else OrderOutcome.REFUSED)
        effect is OrderEffect.QueryOrder && expired -> copy(outcome = OrderOutcome.REFUSED)
        else -> copy(nextRetryMilliseconds = nowMilliseconds + RETRY_DELAY_MILLISECONDS)
    }
}

private fun OrderState.prepareRetry(
    effect: OrderEffect,
    nowMilliseconds: Long,
): OrderState {
    val retryMilliseconds = nowMilliseconds + RETRY_DELAY_MILLISECONDS
    val outcomeUnknown = effect is OrderEffect.Send || effect is OrderEffect.QueryOrder
    val waiting = copy(unsentOrderName = null, nextRetryMilliseconds = retryMilliseconds)
    return if (outcomeUnknown) waiting else waiting.copy(row = null, outcome = null)
}

private fun OrderState.advance(
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> {
    val pendingStep = outstanding
    val responseLost =
        pendingStep != null && nowMilliseconds - pendingStep.sentMilliseconds >= RESPONSE_TIMEOUT_MILLISECONDS
    return when {
        pendingStep != null && !responseLost -> Transition(this)

        event.lease == null -> Transition(OrderState(limits, attempts = attempts))

        pendingStep == null -> startStep(event.lease, event, nowMilliseconds)

        else -> copy(
            outstanding = null,
        ).prepareRetry(pendingStep.effect, nowMilliseconds).startStep(event.lease, event, nowMilliseconds)
    }
}

private fun OrderState.startStep(
    lease: HeldLease,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): Transition<OrderState, OrderEffect> {
    val effect = nextEffect(lease, event, nowMilliseconds) ?: return Transition(this)
    val step = OrderStep(effect.attempt, nowMilliseconds, effect)
    return Transition(copy(outstanding = step, attempts = effect.attempt), listOf(effect))
}

private fun OrderState.nextEffect(
    lease: HeldLease,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): OrderEffect? {
    val attempt = attempts + 1
    val current = row
    val retryDue = nowMilliseconds >= nextRetryMilliseconds
    if (current == null) return OrderEffect.Load(attempt).takeIf { retryDue }
    val pending = current.record.pending
    return when {
        pending == null -> nextOrder(current, lease, event, nowMilliseconds)
        outcome != null -> OrderEffect.Write(attempt, lease, applyOutcome(current, pending, outcome))
        unsentOrderName == pending.order.name -> OrderEffect.Send(attempt, pending.order)
        else -> OrderEffect.QueryOrder(attempt, pending.order.name).takeIf { retryDue }
    }
}

private fun OrderState.nextOrder(
    current: SupplyRow,
    lease: HeldLease,
    event: OrderEvent.Tick,
    nowMilliseconds: Long,
): OrderEffect? {
    if (!lease.hasOutlastedEarlierHolders(
            nowMilliseconds,
            limits.takeoverDelayMilliseconds,
            limits.clockRateBound,
        )
    ) {
        return null
    }
    val change = nextChange(current.record, event.target) ?: return null
    val intent = createIntent(current.record, change, lease, event.wallMilliseconds + limits.orderLifetimeMilliseconds)
    val record = current.record.copy(shard = limits.shard, orders = current.record.orders + 1, pending = intent)
    return OrderEffect.Write(attempts + 1, lease, SupplyRow(current.version, record))
}

private fun applyOutcome(
    row: SupplyRow,
    pending: OrderIntent,
    outcome: OrderOutcome,
): SupplyRow {
    val amounts = if (outcome == OrderOutcome.ACCEPTED) amountsAfter(row.record, pending) else row.record.amounts
    return row.copy(record = row.record.copy(amounts = amounts, pending = null))
}

private const val RETRY_DELAY_MILLISECONDS = 2_000L

/** Exceeds the largest platform timeout that the settings allow, which is 60 seconds. */
private const val RESPONSE_TIMEOUT_MILLISECONDS = 61_000L
