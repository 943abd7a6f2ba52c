package org.mulberrypin.decisions.division

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.ModelShare
import org.mulberrypin.schema.generated.PoolDivision
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Load patterns: four models that ask for 640, 1,440, 1,344 and 784 events a step on 31 engines, and three that ask for
 * 1,824, 1,872 and 768 on 24; the same with engines of one model that are half as fast.
 */
class DivisionTest {
    private var state = DivisionState()
    private var now = 0L
    private val written = ArrayList<DivisionEffect.Write>()
    private val explained = ArrayList<DivisionEffect.Explain>()

    @Test
    fun `four models with uneven demand get engines by their demand`() {
        start(31, FOUR_MODELS)
        run(seconds = 10, FOUR_MODELS)
        expectThat(counts(31, FOUR_MODELS.keys)).isEqualTo(mapOf("irrig" to 5, "grid" to 10, "mill" to 10, "well" to 6))
    }

    @Test
    fun `three models with uneven demand get engines by their demand`() {
        start(24, THREE_MODELS)
        run(seconds = 10, THREE_MODELS)
        expectThat(counts(24, THREE_MODELS.keys)).isEqualTo(mapOf("pairing" to 10, "label" to 10, "note" to 4))
    }

    @Test
    fun `a model whose engines are half as fast gets twice as many for the same demand`() {
        val demand = mapOf("fast" to 1_000.0, "slow" to 1_000.0)
        start(24, demand)
        run(seconds = 15, demand, pace = mapOf("slow" to 0.5))
        expectThat(counts(24, demand.keys)).isEqualTo(mapOf("fast" to 8, "slow" to 16))
    }

    @Test
    fun `after three steps the division no longer follows the steps that end and begin by turns`() {
        start(31, FOUR_MODELS)
        repeat(20) { step ->
            val begun = FOUR_MODELS.keys.filterIndexed { index, _ -> (index + step) % 2 == 0 }
            val open = FOUR_MODELS.filterKeys { it in begun }.mapValues { (_, rate) -> rate * 4 }
            if (step == 6) written.clear()
            run(seconds = 2, FOUR_MODELS, remaining = open)
        }
        expectThat(written).isEmpty()
    }

    @Test
    fun `a model without present demand keeps one engine`() {
        val demand = mapOf("busy" to 1_000.0, "idle" to 0.0)
        start(12, demand)
        run(seconds = 10, demand)
        expectThat(counts(12, demand.keys)).isEqualTo(mapOf("busy" to 11, "idle" to 1))
    }

    @Test
    fun `without known demand the engines are divided evenly and nothing is written`() {
        start(31, FOUR_MODELS)
        run(seconds = 10, emptyMap())
        expectThat(written).isEmpty()
        expectThat(counts(31, FOUR_MODELS.keys).values.sorted()).isEqualTo(listOf(7, 8, 8, 8))
    }

    @Test
    fun `a holder that dies between deciding and publishing leaves the division as it stands`() {
        start(31, FOUR_MODELS)
        run(seconds = 4, FOUR_MODELS)
        val before = state.inForce
        while (written.isEmpty()) tickWithoutStore(FOUR_MODELS)
        expectThat(state.inForce).isEqualTo(before)
        state = DivisionState()
        start(31, FOUR_MODELS)
        run(seconds = 5, FOUR_MODELS, token = 2)
        expectThat(written).hasSize(1)
        run(seconds = 5, FOUR_MODELS, token = 2)
        expectThat(written.map { it.division.fencingNumber }).isEqualTo(listOf(1, 2))
    }

    @Test
    fun `a new holder takes over the division in the store`() {
        val shares = FOUR_MODELS.mapValues { (_, rate) -> (rate / FOUR_MODELS.values.sum() * 1_000).toInt() }
        start(31, FOUR_MODELS)
        apply(DivisionEvent.RowsRead(listOf(DivisionRow(division(shares, token = 1), 7))))
        run(seconds = 20, FOUR_MODELS, token = 2)
        expectThat(written).isEmpty()
        expectThat(state.sharesByPool()[POOL]).isEqualTo(shares)
    }

    @Test
    fun `an earlier holder does not replace the division of a newer one`() {
        start(31, FOUR_MODELS)
        apply(DivisionEvent.RowsRead(listOf(DivisionRow(division(mapOf("irrig" to 1_000), token = 5), 7))))
        run(seconds = 20, FOUR_MODELS, token = 4)
        expectThat(written).isEmpty()
    }

    @Test
    fun `while the store is away the last known division stays`() {
        start(31, FOUR_MODELS)
        run(seconds = 10, FOUR_MODELS)
        val before = state.sharesByPool()
        val changed = FOUR_MODELS.mapValues { (model, rate) -> if (model == "well") rate * 5 else rate }
        repeat(2) { tickWithoutStore(changed) }
        repeat(200) {
            now += TICK_MILLISECONDS
            apply(DivisionEvent.Tick(1))
        }
        expectThat(state.sharesByPool()).isEqualTo(before)
        expectThat(written.size).isLessThan(4)
    }

    @Test
    fun `absurd demand is ignored and logged once`() {
        start(31, FOUR_MODELS)
        val absurd = listOf(
            ModelDemand("irrig", remainingTokens = -5),
            ModelDemand("grid", remainingTokens = Long.MAX_VALUE, waitingTasks = 1),
            ModelDemand("mill", tokensPerSecond = 1e300),
            ModelDemand("well", waitingTasks = -1),
        )
        run(seconds = 10, FOUR_MODELS, others = mapOf("faulty" to absurd))
        expectThat(counts(31, FOUR_MODELS.keys)).isEqualTo(mapOf("irrig" to 5, "grid" to 10, "mill" to 10, "well" to 6))
        expectThat(explained.filter { it.decision == "demand ignored" }).hasSize(4)
    }

    @Test
    fun `with as many engines as models no change is worth a write`() {
        start(4, FOUR_MODELS)
        run(seconds = 20, mapOf("grid" to 5_000.0))
        expectThat(written).isEmpty()
    }

    @Test
    fun `each model keeps an engine whatever the shares, as long as there are enough`() {
        val models = listOf("a", "b", "c", "d")
        for (engines in 4..40) {
            val counts = engineCounts(engineQuotas(engines, models, mapOf("a" to 997, "b" to 3)), emptyMap())
            expectThat(counts.values.sum()).isEqualTo(engines)
            expectThat(counts.values.min()).isGreaterThan(0)
        }
    }

    private fun start(
        engines: Int,
        demand: Map<String, Double>,
    ) {
        apply(DivisionEvent.PoolsChanged(listOf(DividedPool(POOL, demand.keys.toList(), engines))))
    }

    /** Reads heartbeats and ticks as the holder, and carries out what is written. */
    private fun run(
        seconds: Int,
        demand: Map<String, Double>,
        remaining: Map<String, Double> = demand,
        pace: Map<String, Double> = emptyMap(),
        others: Map<String, List<ModelDemand>> = emptyMap(),
        token: Long = 1,
    ) {
        repeat(seconds * 2) {
            now += TICK_MILLISECONDS
            val stated = demand.map { (model, rate) ->
                val open = remaining[model] ?: 0.0
                ModelDemand(model, open.toLong(), 50, 50, rate, PACE * (pace[model] ?: 1.0))
            }
            apply(DivisionEvent.DemandRead(mapOf("owner" to stated) + others))
            val writes = apply(DivisionEvent.Tick(token)).effects.filterIsInstance<DivisionEffect.Write>()
            writes.forEach {
                apply(DivisionEvent.RowsRead(listOf(DivisionRow(it.division, it.expectedVersion + 1))))
            }
        }
    }

    private fun tickWithoutStore(demand: Map<String, Double>) {
        now += TICK_MILLISECONDS
        val stated = demand.map { (model, rate) -> ModelDemand(model, rate.toLong(), 50, 50, rate, PACE) }
        apply(DivisionEvent.DemandRead(mapOf("owner" to stated)))
        apply(DivisionEvent.Tick(1))
    }

    private fun apply(event: DivisionEvent): Transition<DivisionState, DivisionEffect> {
        val transition = decideDivision(state, event, now)
        state = transition.state
        written.addAll(transition.effects.filterIsInstance<DivisionEffect.Write>())
        explained.addAll(transition.effects.filterIsInstance<DivisionEffect.Explain>())
        return transition
    }

    private fun counts(
        engines: Int,
        models: Set<String>,
    ) = engineCounts(engineQuotas(engines, models.toList(), state.sharesByPool()[POOL].orEmpty()), emptyMap())

    private fun division(
        shares: Map<String, Int>,
        token: Long,
    ) = PoolDivision(POOL, shares.map { (model, share) -> ModelShare(model, share) }, token)

    private companion object {
        private const val POOL = "engines"
        private const val TICK_MILLISECONDS = 500L
        private const val PACE = 300.0
        private val FOUR_MODELS = mapOf("irrig" to 640.0, "grid" to 1_440.0, "mill" to 1_344.0, "well" to 784.0)
        private val THREE_MODELS = mapOf("pairing" to 1_824.0, "label" to 1_872.0, "note" to 768.0)
    }
}
