package org.mulberrypin.decisions.capacity

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.division.SmoothedDemand
import org.mulberrypin.decisions.supply.ServerGroup
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.DomainPrice
import org.mulberrypin.schema.generated.SupplyLimits
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotEqualTo

/**
 * Load pattern: 30 engines in three failure domains, 10 of them reclaimable in one domain, that serve a steady demand;
 * engines are reclaimed, crash, or leave as planned, and the demand drops.
 */
class DecideCapacityTest {
    private var state = CapacityState(CapacityMode.REPLACE)
    private var now = 0L
    private var engines = domains.flatMap { domain ->
        (1..10).map { engine("$domain-$it", domain, reclaimable = domain == "c") }
    }
    private val orders = ArrayList<CapacityEffect.Order>()

    @Test
    fun `all reclaimable engines of a failure domain leave in one second and are replaced elsewhere`() {
        run(seconds = 10)
        reclaim()
        run(seconds = 1)
        expectThat(orders).isNotEmpty().all { get { group.failureDomain }.isNotEqualTo("c") }
        val ordered = orders.sumOf { order ->
            order.target - engines.count { groupOf(it) == order.group && !it.leaving }
        }
        expectThat(ordered).isEqualTo(10)
    }

    @Test
    fun `a failure domain whose reclaimable engines have just left gets none of them again`() {
        run(seconds = 10)
        reclaim()
        run(seconds = 2)
        engines = engines.filter { !it.leaving }
        run(seconds = 15)
        expectThat(orders.filter { it.group == ServerGroup(POOL, "c", true) }).isEmpty()
    }

    @Test
    fun `where the platform has no engines now they are ordered elsewhere, and asked for again later`() {
        run(seconds = 10)
        reclaim()
        run(seconds = 1, EngineOrderAnswer.UNAVAILABLE)
        val first = orders.map { it.group }.toSet()
        run(seconds = 4, EngineOrderAnswer.UNAVAILABLE)
        expectThat(orders.map { it.group }.toSet() - first).isNotEmpty()
        orders.clear()
        run(seconds = 20, EngineOrderAnswer.UNAVAILABLE)
        expectThat(orders.map { it.group }).isNotEmpty()
    }

    @Test
    fun `a crashed engine that returns in time is not replaced, and one that does not is asked for where it was`() {
        run(seconds = 10)
        val before = engines
        engines = engines.drop(1)
        run(seconds = 5)
        engines = before
        run(seconds = 10)
        expectThat(orders).isEmpty()
        engines = engines.drop(1)
        run(seconds = 10)
        expectThat(orders.map { it.group to it.target }).isEqualTo(listOf(ServerGroup(POOL, "a", false) to 10))
    }

    @Test
    fun `engines that leave as planned are not replaced`() {
        run(seconds = 10)
        engines = engines.map { if (it.failureDomain == "a") it.copy(leaving = true) else it }
        run(seconds = 3)
        engines = engines.filter { it.failureDomain != "a" }
        run(seconds = 20)
        expectThat(orders).isEmpty()
    }

    @Test
    fun `a holder that dies between order and answer leaves no second order for the same engines`() {
        run(seconds = 10)
        reclaim()
        run(seconds = 1, answer = null)
        val placed = orders.toList()
        state = CapacityState(CapacityMode.REPLACE)
        orders.clear()
        run(seconds = 5, token = 2)
        expectThat(orders).isEmpty()
        carryOut(placed)
        run(seconds = 20, token = 2)
        expectThat(orders).isEmpty()
    }

    @Test
    fun `a late order that undoes a newer one is followed by a repeat of the newer target`() {
        run(seconds = 10)
        engines = engines.drop(3)
        run(seconds = 10)
        carryOut(orders)
        run(seconds = 1)
        orders.clear()
        val undone = engines.filter { it.failureDomain == "a" }.take(3).map { it.id }
        engines = engines.map { if (it.id in undone) it.copy(leaving = true) else it }
        run(seconds = 12)
        expectThat(orders.map { it.group to it.target }).isEqualTo(listOf(ServerGroup(POOL, "a", false) to 10))
    }

    @Test
    fun `while the platform is away an order is repeated with the same target, and rarely`() {
        run(seconds = 10)
        engines = engines.drop(3)
        run(seconds = 60, EngineOrderAnswer.UNKNOWN)
        expectThat(orders.map { it.target }).isNotEmpty().all { isEqualTo(10) }
        expectThat(orders.size).isLessThan(13)
    }

    @Test
    fun `a new holder orders nothing at first, and nothing at all where orders are off`() {
        run(seconds = 5)
        reclaim()
        run(seconds = 1, token = null)
        run(seconds = 5)
        expectThat(orders).isEmpty()
        state = state.copy(mode = CapacityMode.OFF)
        run(seconds = 20)
        expectThat(orders).isEmpty()
    }

    @Test
    fun `by demand, engines are given back slowly once steps are lighter, down to what the work needs`() {
        state = CapacityState(CapacityMode.DEMAND)
        run(seconds = 20, work = 14_000.0)
        expectThat(orders).isEmpty()
        repeat(10) {
            run(seconds = 25, work = 4_000.0)
            carryOut(orders)
        }
        expectThat(orders).isNotEmpty()
        expectThat(engines.count { !it.leaving }).isGreaterThan(15).isLessThan(24)
    }

    @Test
    fun `by demand, more engines are ordered, the cheapest first, but not most of them in one domain`() {
        state = CapacityState(CapacityMode.DEMAND)
        run(seconds = 10, work = 34_000.0)
        carryOut(orders)
        expectThat(engines.size).isGreaterThan(40)
        expectThat(
            engines
                .groupingBy { it.failureDomain }
                .eachCount()
                .values
                .max(),
        ).isLessThan(engines.size / 2 + 2)
        expectThat(engines.count { it.reclaimable }).isLessThan(engines.size / 3 + 2)
    }

    @Test
    fun `at most twelve orders a minute are made`() {
        run(seconds = 10)
        repeat(10) {
            engines = engines.filterIndexed { index, _ -> index % 3 != 0 }
            run(seconds = 6, EngineOrderAnswer.UNAVAILABLE)
        }
        expectThat(orders.size).isLessThan(13)
    }

    /** Two ticks a second; each order gets [answer] at once, or none. */
    private fun run(
        seconds: Int,
        answer: EngineOrderAnswer? = EngineOrderAnswer.ACCEPTED,
        work: Double = 17_000.0,
        token: Long? = 1,
    ) = repeat(seconds * 2) {
        now += 500
        apply(CapacityEvent.ListsChanged(listOf(OrderablePool(POOL, listOf("m"), limits, engines))))
        val demand = mapOf("m" to SmoothedDemand(work, 0.0, 0.0, 30.0, 200.0))
        val placed = apply(CapacityEvent.Tick(token, demand)).filterIsInstance<CapacityEffect.Order>()
        orders.addAll(placed)
        if (answer != null) placed.forEach { apply(CapacityEvent.OrderAnswered(it.group, it.target, answer, "test")) }
    }

    private fun apply(event: CapacityEvent): List<CapacityEffect> {
        val transition = decideCapacity(state, event, now)
        state = transition.state
        return transition.effects
    }

    private fun reclaim() {
        engines = engines.map { if (it.reclaimable) it.copy(leaving = true) else it }
    }

    /** Gives each group the number of engines that was last ordered for it. */
    private fun carryOut(placed: List<CapacityEffect.Order>) {
        placed.groupBy { it.group }.forEach { (group, targets) ->
            val standing = engines.filter { groupOf(it) == group && !it.leaving }
            val target = targets.last().target
            val fresh = (standing.size until target).map {
                engine("${group.failureDomain}-$it-$now", group.failureDomain, group.reclaimable)
            }
            engines = engines - standing.drop(target).toSet() + fresh
        }
    }

    private fun engine(
        id: String,
        domain: String,
        reclaimable: Boolean = false,
    ) = BackendServerEntry(id = id, pool = POOL, failureDomain = domain, slots = 6, reclaimable = reclaimable)

    private companion object {
        private const val POOL = "engines"
        private val domains = listOf("a", "b", "c")
        private val limits = SupplyLimits(
            minimum = 1,
            maximum = 30,
            bootMilliseconds = 4_000,
            reclaimablePriceShare = 0.22,
            prices = listOf(DomainPrice("a", 0.85), DomainPrice("b", 1.2), DomainPrice("c", 1.0)),
        )
    }
}
