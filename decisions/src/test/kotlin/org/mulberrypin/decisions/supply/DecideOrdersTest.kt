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
@DisplayName("Orders with delayed sends, lost responses, outages and changing lease holders")
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
                expectThat(simulation.executedOrders.size).isGreaterThan(0)
            }
        }
    }

    @Test
    fun `are never executed for an earlier lease holder after an order of a later holder`() {
        simulate(seed = 91) { simulation ->
            val fencingNumbers = simulation.executedOrders.map { it.fencingNumber }
            expectThat(fencingNumbers.zipWithNext().count { (first, second) -> second < first }).isEqualTo(0)
        }
    }

    @Test
    fun `never exceed the budget`() {
        simulate(seed = 92) { simulation ->
            expectThat(simulation.spendingCentsPerHour()).isLessThanOrEqualTo(OrderSimulation.BUDGET_CENTS_PER_HOUR)
        }
    }
}
