package org.mulberrypin.decisions.attempts

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan

@OptIn(ExperimentalKotest::class)
@DisplayName("Requests with an idempotency key")
class AttemptPropertyTest {
    @Test
    fun `run at most once despite crashes, lost responses and late commits`() {
        val outcomeCounts = HashMap<String?, Int>()
        runBlocking {
            checkAll(PropTestConfig(seed = 1205, iterations = 200), Arb.long()) { seed ->
                val simulation = AttemptSimulation(seed)
                simulation.run(milliseconds = 40_000)
                expectThat(simulation.executions.values.toList()).all { hasSize(1) }
                simulation.outcomes.forEach { outcomeCounts.merge(it::class.simpleName, 1, Int::plus) }
            }
        }
        expectThat(outcomeCounts.keys).contains("MayRun", "AlreadyCompleted", "InProgressOrUnknown", "DifferentContent")
        expectThat(outcomeCounts.getValue("RecordUnavailable")).isGreaterThan(100)
        expectThat(outcomeCounts.getValue("AlreadyCompleted")).isGreaterThan(1_000)
    }

    @Test
    fun `are detected across a period boundary when clocks differ`() {
        val boundary = PERIOD_MILLISECONDS
        val keysBefore = attemptKeys("name", boundary - 1)
        val keysAfter = attemptKeys("name", boundary)
        expectThat(keysBefore).contains(keysAfter.first())
        expectThat(keysAfter).contains(keysBefore.first())
        expectThat(attemptKeys("name", boundary + PERIOD_MILLISECONDS - 1)).contains(keysBefore.first())
    }
}
