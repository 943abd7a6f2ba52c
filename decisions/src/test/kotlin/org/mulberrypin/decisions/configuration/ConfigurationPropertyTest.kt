package org.mulberrypin.decisions.configuration

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

@OptIn(ExperimentalKotest::class)
@DisplayName("Configuration distribution")
class ConfigurationPropertyTest {
    /** The simulation checks that all instances apply one history, no version decreases, and the time limit holds. */
    @Test
    fun `never reverts a version or serves an outdated one past the limit under random failures`() {
        var accepted = 0
        var withoutStore = 0
        var refused = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 4015, iterations = 150), Arb.long(), Arb.int(2..12)) { seed, size ->
                val simulation = ConfigurationSimulation(seed, size)
                simulation.run(milliseconds = 60_000)
                accepted += simulation.acceptedCount
                withoutStore += simulation.servedWithoutStore
                refused += simulation.refusedChecks
            }
        }
        expectThat(accepted).describedAs("acceptances").isGreaterThan(500)
        expectThat(withoutStore).describedAs("checks of an instance serving without the store").isGreaterThan(1_000)
        expectThat(refused).describedAs("checks of an instance refusing requests").isGreaterThan(1_000)
    }
}
