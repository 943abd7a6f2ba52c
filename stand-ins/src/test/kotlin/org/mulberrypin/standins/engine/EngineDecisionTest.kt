package org.mulberrypin.standins.engine

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineWeightOrder
import org.mulberrypin.standins.text.generatedAnswer
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

@OptIn(ExperimentalKotest::class)
@DisplayName("The state transitions of the engine stand-in")
class EngineDecisionTest {
    private val options = EngineStandInOptions(slots = 2, tokenMilliseconds = 10, swapMilliseconds = 50)

    private fun task(
        number: Long,
        prompt: String = "prompt $number",
        priority: Int = 0,
    ): EngineTask =
        checkNotNull(engineTask(number, CompletionRequest(prompt = prompt, maxTokens = 20, priority = priority)))

    private fun EngineState.with(vararg tasks: EngineTask): EngineState =
        tasks.fold(this) { state, task -> state.submit(task, options).state }

    private fun EngineState.order(
        version: Long,
        fencingNumber: Long,
        nowMilliseconds: Long,
        fencing: Boolean = true,
    ): WeightOrderTransition =
        order(
            EngineWeightOrder(version = version, fencingNumber = fencingNumber),
            options.copy(fencing = fencing),
            nowMilliseconds,
        )

    @Test
    fun `generate the complete text at any event times and across any swaps, each part with one weight version`() {
        runBlocking {
            checkAll(
                PropTestConfig(seed = 31),
                Arb.list(Arb.int(1..120), 10..40),
                Arb.int(0..6),
            ) { pausesMilliseconds, swapAt ->
                var state = EngineState(weightVersion = 1).with(task(1), task(2), task(3))
                val effects = mutableListOf<EngineEffect>()
                var nowMilliseconds = 0L
                (pausesMilliseconds + List(SETTLING_EVENTS) { 10_000 }).forEachIndexed { index, pauseMilliseconds ->
                    if (index % 7 == swapAt) state = state.order(index + 2L, 1, nowMilliseconds).state
                    nowMilliseconds += pauseMilliseconds
                    val transition = state.advance(options, nowMilliseconds)
                    if (transition.state.swap != null) expectThat(transition.effects).isEmpty()
                    state = transition.state
                    effects += transition.effects
                }
                val finished = effects.filterIsInstance<EngineEffect.Finish>().map { it.task }
                expectThat(finished).hasSize(3)
                finished.forEach { task ->
                    val parts = effects.filterIsInstance<EngineEffect.Part>().filter { it.task == task.task }
                    expectThat(parts.joinToString("") { it.text })
                        .isEqualTo(generatedAnswer(task.prompt, task.seed, 20).text)
                    expectThat(parts.map { it.weightVersion }).isEqualTo(parts.map { it.weightVersion }.sorted())
                }
            }
        }
    }

    @Test
    fun `change the weight version in the middle of an answer`() {
        var state = EngineState(weightVersion = 1).with(task(1)).advance(options, 0).state
        state = state
            .advance(options, 50)
            .state
            .order(version = 2, fencingNumber = 1, nowMilliseconds = 50)
            .state
        expectThat(state.advance(options, 90).effects).isEqualTo(emptyList())
        val parts = state.advance(options, 130).effects.filterIsInstance<EngineEffect.Part>()
        expectThat(parts.map { it.weightVersion }).containsExactly(2)
    }

    @Test
    fun `refuse an outdated fencing number only if fencing is enabled`() {
        val state = EngineState(weightVersion = 1).order(version = 2, fencingNumber = 5, nowMilliseconds = 0).state
        expectThat(state.order(version = 3, fencingNumber = 4, nowMilliseconds = 0).answer.accepted).isFalse()
        expectThat(
            state
                .order(version = 3, fencingNumber = 4, nowMilliseconds = 0, fencing = false)
                .answer
                .accepted,
        ).isTrue()
    }

    @Test
    fun `keep the old weight version when a swap fails`() {
        val state = EngineState(
            weightVersion = 1,
            failingSwaps = 1,
        ).order(version = 2, fencingNumber = 1, nowMilliseconds = 0).state
        expectThat(state.advance(options, 60).state.weightVersion).isEqualTo(1)
    }

    @Test
    fun `start waiting tasks by priority, then by arrival`() {
        val state = EngineState(weightVersion = 1)
            .with(task(1, priority = 2), task(2, priority = 1), task(3, priority = 1))
            .advance(options, 0)
            .state
        expectThat(state.running.keys.sorted()).containsExactly(2, 3)
    }

    @Test
    fun `start an answer sooner when its prefix is cached, and evict prefixes beyond the capacity`() {
        val longPrompt = "x".repeat(64_000)
        val cold = EngineState(weightVersion = 1).with(task(1, longPrompt)).advance(options, 0).state
        val warm = cold
            .cancel(1)
            .with(task(2, longPrompt))
            .advance(options, 0)
            .state
        expectThat(warm.running.getValue(2).dueMilliseconds).isLessThan(cold.running.getValue(1).dueMilliseconds)
        val smallCache = options.copy(cacheBlocks = 10)
        val bounded = EngineState(weightVersion = 1).with(task(1, longPrompt)).advance(smallCache, 0).state
        expectThat(bounded.cache.blocks.size).isEqualTo(10)
    }

    @Test
    fun `refuse a task when the queue is full`() {
        val full = options.copy(waitingLimit = 0)
        expectThat(EngineState(weightVersion = 1).submit(task(1), full).effects).containsExactly(EngineEffect.Refuse(1))
    }

    @Test
    fun `remove a task whose client has disconnected`() {
        val state = EngineState(weightVersion = 1).with(task(1), task(2), task(3)).advance(options, 0).state
        expectThat(state.waiting.size).isGreaterThan(0)
        expectThat(
            state
                .cancel(1)
                .cancel(3)
                .load(options.cacheBlocks)
                .let { it.running + it.waiting },
        ).isEqualTo(1)
    }

    private companion object {
        /** Number of events at the end of a sequence after which every task has ended in spite of swaps. */
        private const val SETTLING_EVENTS = 10
    }
}
