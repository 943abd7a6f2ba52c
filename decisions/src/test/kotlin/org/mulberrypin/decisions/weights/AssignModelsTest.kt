package org.mulberrypin.decisions.weights

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ServedModel
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/**
 * Load pattern: four models with shares of 15, 34, 32 and 19 percent on 31 engines, whose versions are named at
 * different times; engines change their model, vanish a failure domain at a time, and return without weights.
 */
class AssignModelsTest {
    private val models = listOf("grid", "irrig", "mill", "well")
    private val shares = mapOf("irrig" to 152, "grid" to 342, "mill" to 320, "well" to 186)
    private val versions = HashMap<String, Long>()
    private var engines = (1..31).map { engine("engine-%02d".format(it)) }

    @Test
    fun `the engines follow the shares, and few of them change their model`() {
        loadSteps(emptyMap(), 5)
        val even = assigned(emptyMap())
        val divided = assigned(shares)
        expectThat(divided.values.groupingBy { it }.eachCount())
            .isEqualTo(mapOf("irrig" to 5, "grid" to 10, "mill" to 10, "well" to 6))
        expectThat(divided.count { (id, model) -> even[id] != model }).isLessThan(6)
    }

    @Test
    fun `an engine that changed its model does not go to and fro`() {
        loadSteps(emptyMap(), 5)
        val changed = loadSteps(shares, 8)
        expectThat(changed).isLessThan(6)
    }

    @Test
    fun `the engines of a failure domain vanish in one second, and each model has its share of the rest`() {
        loadSteps(shares, 5)
        engines = engines.filterIndexed { index, _ -> index % 3 != 0 }
        expectThat(assigned(shares).values.groupingBy { it }.eachCount())
            .isEqualTo(mapOf("irrig" to 3, "grid" to 7, "mill" to 6, "well" to 4))
        val changed = loadSteps(shares, 2)
        expectThat(changed).isLessThan(4)
    }

    @Test
    fun `a model whose only engines vanish has one again at once`() {
        loadSteps(shares, 5)
        val lost = assigned(shares).filterValues { it == "irrig" }.keys
        engines = engines.filter { it.id !in lost }
        expectThat(assigned(shares).values.count { it == "irrig" }).isEqualTo(4)
    }

    @Test
    fun `engines that return without weights get what the others lack`() {
        loadSteps(shares, 5)
        val before = assigned(shares)
        engines = engines.mapIndexed { index, entry -> if (index < 5) engine(entry.id) else entry }
        val after = assigned(shares)
        expectThat(after.count { (id, model) -> before[id] != model && id > "engine-05" }).isEqualTo(0)
        expectThat(after.values.groupingBy { it }.eachCount())
            .isEqualTo(before.values.groupingBy { it }.eachCount())
    }

    @Test
    fun `an engine that has just changed its model yields the old one to engines that hold nothing else`() {
        val held = listOf("b", "b", "a", "a", "ab", "a")
        val entries = held.mapIndexed { index, names ->
            val served = listOf("a", "b").map { ServedModel(it, if (it in names) 9 else 1) }
            BackendServerEntry(id = "engine-$index", slots = 6, models = served)
        }
        val assigned = assignModels(entries, EnginePool(listOf("a", "b"), entries), mapOf("a" to 9L, "b" to 9L))
        expectThat(assigned.filterValues { it == "a" }.keys).isEqualTo(setOf("engine-2", "engine-3", "engine-5"))
    }

    private fun assigned(shares: Map<String, Int>) = assignModels(engines, pool(shares), versions)

    /** Names versions of all models [steps] times and loads them; returns how often an engine changed its model. */
    private fun loadSteps(
        shares: Map<String, Int>,
        steps: Int,
    ): Int {
        var previous = assigned(shares)
        var changed = 0
        repeat(steps) {
            for (model in models) {
                versions[model] = (versions[model] ?: 1) + 1
                while (true) {
                    val due = dueLoads(pool(shares), versions).take(maxConcurrentLoads(engines.size))
                    if (due.isEmpty()) break
                    due.forEach(::load)
                    val current = assigned(shares)
                    changed += current.count { (id, assignment) -> previous[id] != assignment }
                    previous = current
                }
            }
        }
        return changed
    }

    private fun load(due: DueLoad) {
        engines = engines.map { entry ->
            val others = entry.models.filter { it.name != due.model }
            if (entry.id != due.engine.id) entry else entry.copy(models = others + ServedModel(due.model, due.version))
        }
    }

    private fun pool(shares: Map<String, Int>) = EnginePool(models, engines, shares)

    private fun engine(id: String) =
        BackendServerEntry(id = id, pool = "engines", slots = 6, models = models.map { ServedModel(it, 1) })
}
