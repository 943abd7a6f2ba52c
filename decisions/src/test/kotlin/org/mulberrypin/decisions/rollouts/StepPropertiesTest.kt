package org.mulberrypin.decisions.rollouts

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.StepRequest
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

@DisplayName("A step of a trainer")
class StepPropertiesTest {
    private val request = StepRequest(
        trainer = "sorter",
        step = "1",
        model = "sorter-lm",
        groups = (1..5).map { PromptGroup("group-$it", "prompt $it", samples = 1 + it % 3) },
        stalenessBound = 1,
        trainerVersion = 1,
        team = "kerbrat",
        keyName = "trainer-key",
    )

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `comes whole, once, fresh and truthful through any failures`() {
        var takeOvers = 0
        var voided = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 41, iterations = 400), Arb.long()) { seed ->
                val world = RolloutWorld(seed)
                runStep(world, failingActs = 1_500)
                takeOvers += world.store.takeOvers
                voided += world.store.voided
            }
        }
        expectThat(takeOvers).isGreaterThan(400)
        expectThat(voided).isGreaterThan(100)
    }

    @Test
    fun `survives the death of an instance before each of its effects`() {
        var reached = 0
        for (effect in 1..70) {
            val world = RolloutWorld(seed = 7, crashAtEffect = effect)
            runStep(world, failingActs = 0)
            reached = maxOf(reached, world.effectsSeen)
        }
        expectThat(reached).isGreaterThan(70)
    }

    @Test
    fun `costs a commit for its start, for each batch and for its end`() {
        val world = RolloutWorld(seed = 3)
        val trainer = runStep(world, failingActs = 0)
        expectThat(world.store.writes.toLong()).isLessThan(trainer.acknowledged + 3)
    }

    private fun runStep(
        world: RolloutWorld,
        failingActs: Int,
    ): FakeTrainer {
        val trainer = FakeTrainer(request, world::spansOf)
        repeat(failingActs) { world.act(trainer) }
        world.failing = false
        var acts = 0
        while (!trainer.isComplete && acts++ < ACT_LIMIT) {
            world.act(trainer)
        }
        trainer.checkWhole()
        return trainer
    }

    private companion object {
        const val ACT_LIMIT = 60_000
    }
}
