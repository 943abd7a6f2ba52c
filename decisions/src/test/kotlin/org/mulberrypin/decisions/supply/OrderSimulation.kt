package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.covers
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.SupplyRecord
import kotlin.random.Random

/** Two processes that order in turn from a platform that ignores fencing numbers but honours expiry. */
internal class OrderSimulation(
    val random: Random,
) {
    var now = 1_000_000L
    val carriedOut = mutableListOf<BackendServerOrder>()
    val running = mutableMapOf<SupplyPlace, Int>()
    private val skews = List(2) { random.nextLong(-SKEW / 2, SKEW / 2) }
    private val states = MutableList(2) { OrderState(OrderTerms("a", LONGEST_SEND, SKEW, clockRateBound = 0.01)) }
    private val since = LongArray(2)
    private val calls = mutableListOf<Pair<Long, () -> Unit>>()
    private var row = SupplyRow(0, SupplyRecord())
    private var leaseVersion = 1L
    private var holder = 0
    private var fencing = 0L
    private var deadline = now
    private var target = SupplyTarget(emptyMap(), prices, BUDGET)

    fun spending(): Long = running.entries.sumOf { (place, count) -> prices.getValue(place) * count }

    fun step() {
        now += random.nextLong(1, 400)
        turnLease()
        if (random.nextInt(10) == 0) target = target.copy(wanted = prices.keys.associateWith { random.nextInt(8) })
        val due = calls.filter { it.first <= now }.sortedBy { it.first }
        calls -= due.toSet()
        due.forEach { it.second() }
        states.indices.forEach { decide(it, OrderEvent.Tick(leaseOf(it), target, wall(it))) }
    }

    private fun wall(process: Int): Long = now + skews[process]

    private fun turnLease() {
        if (now < deadline && random.nextInt(40) > 0) {
            if (deadline - now < LEASE / 2) {
                deadline = now + LEASE
                leaseVersion += 1
            }
        } else if (now > deadline) {
            holder = random.nextInt(2)
            fencing += 1
            leaseVersion += 1
            deadline = now + LEASE
            since[holder] = now
        }
    }

    private fun leaseOf(process: Int): LeaseHold? =
        LeaseHold("lease/orders/a", fencing, deadline, since[process], leaseVersion)
            .takeIf { process == holder && now < deadline && fencing > 0 }

    private fun decide(
        process: Int,
        event: OrderEvent,
    ) {
        val transition = decideOrders(states[process], event, now)
        states[process] = transition.state
        transition.effects.forEach { perform(process, it) }
    }

    private fun perform(
        process: Int,
        effect: OrderEffect,
    ) {
        when (effect) {
            is OrderEffect.Send -> {
                check(process, effect)
            }

            is OrderEffect.Load, is OrderEffect.Write, is OrderEffect.Ask -> {
                val delay = random.nextLong(1, if (random.nextInt(8) == 0) 9_000 else 200)
                val down = random.nextInt(12) == 0
                calls += now + delay to {
                    val event = if (down) OrderEvent.Failed(effect.attempt) else serve(process, effect)
                    decide(process, if (random.nextInt(8) == 0) OrderEvent.Failed(effect.attempt) else event)
                }
            }
        }
    }

    private fun serve(
        process: Int,
        effect: OrderEffect,
    ): OrderEvent =
        when (effect) {
            is OrderEffect.Load -> OrderEvent.Loaded(effect.attempt, row)
            is OrderEffect.Write -> write(effect)
            is OrderEffect.Ask -> OrderEvent.Answered(effect.attempt, answerTo(effect.name), wall(process))
            is OrderEffect.Send -> error("Sent elsewhere.")
        }

    private fun write(effect: OrderEffect.Write): OrderEvent {
        if (effect.row.version != row.version || effect.lease.rowVersion != leaseVersion) {
            return OrderEvent.Failed(effect.attempt)
        }
        row = effect.row.copy(version = row.version + 1)
        return OrderEvent.Written(effect.attempt)
    }

    private fun answerTo(name: String): BackendServerOrderAnswer? =
        carriedOut.find { it.name == name }?.let { BackendServerOrderAnswer(accepted = true) }

    private fun check(
        process: Int,
        effect: OrderEffect.Send,
    ) {
        val hold = leaseOf(process)?.takeIf { it.fencingNumber == effect.order.fencingNumber }
        if (hold == null || !hold.covers(now, LONGEST_SEND)) return decide(process, OrderEvent.Failed(effect.attempt))
        val paused = random.nextInt(4) == 0
        calls += now + random.nextLong(1, if (paused) 25_000 else LONGEST_SEND - 300) to {
            val answer = carryOut(effect.order)
            val lost = random.nextInt(4) == 0
            val event = OrderEvent.Answered(effect.attempt, answer, wall(process))
            decide(process, if (lost) OrderEvent.Failed(effect.attempt) else event)
        }
    }

    private fun carryOut(order: BackendServerOrder): BackendServerOrderAnswer {
        if (now > order.expiresWallMilliseconds) return BackendServerOrderAnswer(accepted = false, reason = "expired")
        if (carriedOut.none { it.name == order.name }) {
            carriedOut += order
            running[SupplyPlace(order.pool, order.failureDomain, order.reclaimable)] = order.wanted
        }
        return BackendServerOrderAnswer(accepted = true)
    }

    companion object {
        const val LONGEST_SEND = 2_000L
        const val SKEW = 1_000L
        const val LEASE = 9_000L
        const val BUDGET = 900L
        val prices = listOf("a", "b", "c")
            .flatMap { domain ->
                listOf(SupplyPlace("pool", domain, false) to 100L, SupplyPlace("pool", domain, true) to 40L)
            }.toMap()
    }
}
