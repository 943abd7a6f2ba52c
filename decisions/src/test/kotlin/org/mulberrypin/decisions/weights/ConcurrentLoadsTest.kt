package org.mulberrypin.decisions.weights

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ServedModel
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Load pattern: two models whose versions are named every 5 s, on 6 to 650 engines that take 0.9 s to load one. With a
 * fixed number of loads at a time, many engines never catch up.
 */
class ConcurrentLoadsTest {
    @Test
    fun `all engines have a named version within four seconds, whatever their number`() {
        listOf(6, 18, 31, 100, 650).forEach { engines ->
            expectThat(loadMilliseconds(engines)).describedAs("milliseconds for $engines engines").isLessThan(4_000)
        }
    }

    @Test
    fun `at least two thirds of the engines take new tasks at any time`() {
        listOf(6, 18, 31, 100, 650).forEach { engines ->
            expectThat(engines - maxConcurrentLoads(engines)).isGreaterThan(engines * 2 / 3 - 1)
        }
    }

    private fun loadMilliseconds(count: Int): Long {
        val versions = (1..count).associateTo(LinkedHashMap()) { "engine-$it" to 1L }
        var state = WeightState()
        var now = 0L
        val loading = HashMap<String, Long>()
        while (versions.values.any { it < 2 }) {
            loading.filterValues { it <= now }.keys.toList().forEach { id ->
                loading.remove(id)
                versions[id] = 2
            }
            state = decideWeights(state, WeightEvent.ListsChanged(mapOf("m" to 2L), pools(versions)), now).state
            val started = decideWeights(state, WeightEvent.Tick, now)
            state = started.state
            started.effects.filterIsInstance<WeightEffect.ReadReport>().forEach { read ->
                state = decideWeights(state, WeightEvent.OrderAccepted(read.engine.id), now).state
                loading[read.engine.id] = now + LOAD_MILLISECONDS
            }
            now += TICK_MILLISECONDS
            check(now < 600_000) { "the engines never have the version" }
        }
        expectThat(loading.size).isEqualTo(0)
        return now
    }

    private fun pools(versions: Map<String, Long>) =
        listOf(EnginePool(listOf("m"), versions.map { (id, version) -> entry(id, version) }))

    private fun entry(
        id: String,
        version: Long,
    ) = BackendServerEntry(
        id = id,
        pool = "p",
        address = "10.0.0.1:80",
        failureDomain = "z",
        slots = 6,
        models = listOf(ServedModel("m", version)),
    )

    private companion object {
        private const val LOAD_MILLISECONDS = 900L
        private const val TICK_MILLISECONDS = 50L
    }
}
