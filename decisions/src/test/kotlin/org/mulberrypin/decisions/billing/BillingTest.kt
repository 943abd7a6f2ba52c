package org.mulberrypin.decisions.billing

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.ShrinkingMode
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("Billing under deaths, pauses, outages, lost answers and reporters in turn")
class BillingTest {
    private fun simulate(
        seed: Long,
        check: (BillingSimulation) -> Unit,
    ) {
        runBlocking {
            checkAll(
                PropTestConfig(seed = seed, iterations = 60, shrinkingMode = ShrinkingMode.Off),
                Arb.long(),
            ) { run ->
                val simulation = BillingSimulation(Random(run))
                repeat(500) { simulation.step() }
                simulation.faults = false
                repeat(600) { simulation.step() }
                check(simulation)
            }
        }
    }

    @Test
    fun `never sends two figures under one window name`() {
        simulate(seed = 81) { simulation ->
            val byName = simulation.sendings.groupBy { it.window.name }
            expectThat(byName.size).isGreaterThan(0)
            byName.values.forEach { sendings -> expectThat(sendings.map { it.window }.toSet()).hasSize(1) }
        }
    }

    @Test
    fun `reports all usage of living instances and at least the copied usage of dead ones`() {
        simulate(seed = 82) { simulation ->
            val reported = simulation.sendings
                .associate { it.window.name to it.window }
                .values
                .sumOf { window -> window.lines.sumOf { it.requests } }
            val living = simulation.processes.sumOf { it.used }
            expectThat(reported).isGreaterThanOrEqualTo(living + simulation.dead.sumOf { it.safe })
            expectThat(reported).isLessThanOrEqualTo(living + simulation.dead.sumOf { it.used })
        }
    }

    @Test
    fun `never has two processes send at the same time, also after a pause as long as the longest send`() {
        simulate(seed = 83) { simulation ->
            val punctual = simulation.sendings.filter { it.sentAt - it.checkedAt <= 2 * LONGEST_SEND }
            val overlaps = punctual.flatMap { first ->
                punctual.filter { first.process != it.process && it.checkedAt in first.checkedAt..first.sentAt }
            }
            expectThat(overlaps).isEmpty()
        }
    }
}
