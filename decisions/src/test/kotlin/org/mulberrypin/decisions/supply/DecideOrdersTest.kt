package org.mulberrypin.decisions.supply

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
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("Orders under pauses before sending, lost answers, outages and holders in turn")
class DecideOrdersTest {
    private fun simulate(
        seed: Long,
        check: (OrderSimulation) -> Unit,
    ) {
        runBlocking {
            val config = PropTestConfig(seed = seed, iterations = 60, shrinkingMode = ShrinkingMode.Off)
            checkAll(config, Arb.long()) { run ->
                val simulation = OrderSimulation(Random(run))
                repeat(1_500) {
                    simulation.step()
                    check(simulation)
                }
                expectThat(simulation.carriedOut.size).isGreaterThan(0)
            }
        }
    }

    @Test
    fun `are never carried out for an earlier holder after those of a later one`() {
        simulate(seed = 91) { simulation ->
            val numbers = simulation.carriedOut.map { it.fencingNumber }
            expectThat(numbers.zipWithNext().count { (first, second) -> second < first }).isEqualTo(0)
        }
    }

    @Test
    fun `never spend more than the budget`() {
        simulate(seed = 92) { simulation ->
            expectThat(simulation.spending()).isLessThanOrEqualTo(OrderSimulation.BUDGET)
        }
    }
}
