package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.allowsOperation
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.SupplyRecord
import kotlin.random.Random

/**
 * Simulates two processes that take turns in holding the lease and ordering from a platform. The platform ignores
 * fencing numbers but rejects expired orders. Times are in milliseconds of virtual time.
 */
internal class OrderSimulation(
    val random: Random,
) {
    var now = 1_000_000L
    val executedOrders = mutableListOf<BackendServerOrder>()
    val runningServers = mutableMapOf<ServerGroup, Int>()
    private val wallClockSkews = List(2) { random.nextLong(-SKEW_MILLISECONDS / 2, SKEW_MILLISECONDS / 2) }
    private val states = MutableList(2) {
        OrderState(OrderTimeLimits("a", LONGEST_SEND, SKEW_MILLISECONDS, clockRateBound = 0.01))
    }
    private val heldSince = LongArray(2)
    private val scheduled = mutableListOf<Pair<Long, () -> Unit>>()
    private var row = SupplyRow(0, SupplyRecord())
    private var leaseVersion = 1L
    private var holder = 0
    private var fencingNumber = 0L
    private var deadline = now
    private var target = SupplyTarget(emptyMap(), prices, BUDGET_CENTS_PER_HOUR)

    fun spendingCentsPerHour(): Long = runningServers.entries.sumOf { (group, count) -> prices.getValue(group) * count }

    /** Advances the time, updates the lease and the target, and delivers due events. */
    fun step() {
        now += random.nextLong(1, 400)
        updateLease()
        if (random.nextInt(10) == 0) target = target.copy(wanted = prices.keys.associateWith { random.nextInt(8) })
        val due = scheduled.filter { it.first <= now }.sortedBy { it.first }
        scheduled -= due.toSet()
        due.forEach { it.second() }
        states.indices.forEach { decide(it, OrderEvent.Tick(leaseOf(it), target, wallClock(it))) }
    }

    private fun wallClock(process: Int): Long = now + wallClockSkews[process]

    /** Renews the lease in time, or lets it expire and assigns it to a random process. */
    private fun updateLease() {
        if (now < deadline && random.nextInt(40) > 0) {
            if (deadline - now < LEASE_MILLISECONDS / 2) {
                deadline = now + LEASE_MILLISECONDS
                leaseVersion += 1
            }
        } else if (now > deadline) {
            holder = random.nextInt(2)
            fencingNumber += 1
            leaseVersion += 1
            deadline = now + LEASE_MILLISECONDS
            heldSince[holder] = now
        }
    }

    /** The lease as seen by [process], or null when it does not hold the lease. */
    private fun leaseOf(process: Int): HeldLease? =
        HeldLease("lease/orders/a", fencingNumber, deadline, heldSince[process], leaseVersion)
            .takeIf { process == holder && now < deadline && fencingNumber > 0 }

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
                send(process, effect)
            }

            is OrderEffect.Load, is OrderEffect.Write, is OrderEffect.QueryOrder -> {
                val delay = random.nextLong(1, if (random.nextInt(8) == 0) 9_000 else 200)
                val unavailable = random.nextInt(12) == 0
                scheduled += now + delay to {
                    val event = if (unavailable) OrderEvent.Failed(effect.attempt) else execute(process, effect)
                    decide(process, if (random.nextInt(8) == 0) OrderEvent.Failed(effect.attempt) else event)
                }
            }
        }
    }

    private fun execute(
        process: Int,
        effect: OrderEffect,
    ): OrderEvent =
        when (effect) {
            is OrderEffect.Load -> OrderEvent.Loaded(effect.attempt, row)

            is OrderEffect.Write -> write(effect)

            is OrderEffect.QueryOrder -> OrderEvent.ResponseReceived(
                effect.attempt,
                findOrder(effect.name),
                wallClock(process),
            )

            is OrderEffect.Send -> error("Send effects are expected in perform, not here.")
        }

    private fun write(effect: OrderEffect.Write): OrderEvent {
        if (effect.row.version != row.version || effect.lease.rowVersion != leaseVersion) {
            return OrderEvent.Failed(effect.attempt)
        }
        row = effect.row.copy(version = row.version + 1)
        return OrderEvent.Written(effect.attempt)
    }

    private fun findOrder(name: String): BackendServerOrderAnswer? =
        executedOrders.find { it.name == name }?.let { BackendServerOrderAnswer(accepted = true) }

    /** Sends the order if the lease covers the send timeout; in a quarter of the cases the send takes longer. */
    private fun send(
        process: Int,
        effect: OrderEffect.Send,
    ) {
        val hold = leaseOf(process)?.takeIf { it.fencingNumber == effect.order.fencingNumber }
        if (hold == null ||
            !hold.allowsOperation(now, LONGEST_SEND)
        ) {
            return decide(process, OrderEvent.Failed(effect.attempt))
        }
        val delayed = random.nextInt(4) == 0
        scheduled += now + random.nextLong(1, if (delayed) 25_000 else LONGEST_SEND - 300) to {
            val answer = executeOrder(effect.order)
            val responseLost = random.nextInt(4) == 0
            val event = OrderEvent.ResponseReceived(effect.attempt, answer, wallClock(process))
            decide(process, if (responseLost) OrderEvent.Failed(effect.attempt) else event)
        }
    }

    private fun executeOrder(order: BackendServerOrder): BackendServerOrderAnswer {
        if (now > order.expiresWallMilliseconds) return BackendServerOrderAnswer(accepted = false, reason = "expired")
        if (executedOrders.none { it.name == order.name }) {
            executedOrders += order
            runningServers[ServerGroup(order.pool, order.failureDomain, order.reclaimable)] = order.wanted
        }
        return BackendServerOrderAnswer(accepted = true)
    }

    companion object {
        /** Longest send that the lease must cover, in milliseconds. */
        const val LONGEST_SEND = 2_000L
        const val SKEW_MILLISECONDS = 1_000L
        const val LEASE_MILLISECONDS = 9_000L
        const val BUDGET_CENTS_PER_HOUR = 900L
        val prices = listOf("a", "b", "c")
            .flatMap { domain ->
                listOf(ServerGroup("pool", domain, false) to 100L, ServerGroup("pool", domain, true) to 40L)
            }.toMap()
    }
}
