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

@DisplayName("Properties of a step")
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
    fun `is delivered complete, once, within the staleness bound and with the true versions under random faults`() {
        var takeovers = 0
        var voided = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 41, iterations = 400), Arb.long()) { seed ->
                val cluster = SimulatedCluster(seed)
                runStep(cluster, actionsWithFaults = 1_500)
                takeovers += cluster.store.takeovers
                voided += cluster.store.voided
            }
        }
        expectThat(takeovers).isGreaterThan(400)
        expectThat(voided).isGreaterThan(100)
    }

    @Test
    fun `completes when an instance crashes before any one of its effects`() {
        var maxEffectCount = 0
        for (effect in 1..70) {
            val cluster = SimulatedCluster(seed = 7, crashAtEffect = effect)
            runStep(cluster, actionsWithFaults = 0)
            maxEffectCount = maxOf(maxEffectCount, cluster.effectCount)
        }
        expectThat(maxEffectCount).isGreaterThan(70)
    }

    @Test
    fun `needs at most one commit for its start, for each batch and for its end`() {
        val cluster = SimulatedCluster(seed = 3)
        val trainer = runStep(cluster, actionsWithFaults = 0)
        expectThat(cluster.store.writes.toLong()).isLessThan(trainer.acknowledged + 3)
    }

    private fun runStep(
        cluster: SimulatedCluster,
        actionsWithFaults: Int,
    ): FakeTrainer {
        val trainer = FakeTrainer(request, cluster::spansOf)
        repeat(actionsWithFaults) { cluster.runRandomAction(trainer) }
        cluster.faulty = false
        var actions = 0
        while (!trainer.isComplete && actions++ < ACTION_LIMIT) {
            cluster.runRandomAction(trainer)
        }
        trainer.checkComplete()
        return trainer
    }

    private companion object {
        const val ACTION_LIMIT = 60_000
    }
}
