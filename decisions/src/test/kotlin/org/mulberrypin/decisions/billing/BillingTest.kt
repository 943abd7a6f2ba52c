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
@DisplayName("Billing with crashes, pauses, outages, lost responses and changing reporters")
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
                simulation.faultsEnabled = false
                repeat(600) { simulation.step() }
                check(simulation)
            }
        }
    }

    @Test
    fun `never sends different contents under one report name`() {
        simulate(seed = 81) { simulation ->
            val byName = simulation.sentReports.groupBy { it.window.name }
            expectThat(byName.size).isGreaterThan(0)
            byName.values.forEach { sentReports -> expectThat(sentReports.map { it.window }.toSet()).hasSize(1) }
        }
    }

    @Test
    fun `reports all usage of running instances and at least the copied usage of crashed ones`() {
        simulate(seed = 82) { simulation ->
            val reported = simulation.sentReports
                .associate { it.window.name to it.window }
                .values
                .sumOf { window -> window.lines.sumOf { it.requests } }
            val running = simulation.processes.sumOf { it.usedCount }
            expectThat(reported).isGreaterThanOrEqualTo(running + simulation.crashedProcesses.sumOf { it.copiedCount })
            expectThat(reported).isLessThanOrEqualTo(running + simulation.crashedProcesses.sumOf { it.usedCount })
        }
    }

    @Test
    fun `never has two processes sending at the same time, even if a send is delayed by the send timeout`() {
        simulate(seed = 83) { simulation ->
            val withinLimit = simulation.sentReports.filter { it.sentAt - it.checkedAt <= 2 * LONGEST_SEND }
            val overlaps = withinLimit.flatMap { first ->
                withinLimit.filter { first.process != it.process && it.checkedAt in first.checkedAt..first.sentAt }
            }
            expectThat(overlaps).isEmpty()
        }
    }
}
