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
@DisplayName("Instances that follow the configuration")
class ConfigurationPropertyTest {
    /** The world itself checks for one history, no way back, and the bound; each failure names what was broken. */
    @Test
    fun `never go back and never serve past the bound under any failures`() {
        var accepted = 0
        var withoutStore = 0
        var refused = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 4015, iterations = 150), Arb.long(), Arb.int(2..12)) { seed, size ->
                val world = ConfigurationWorld(seed, size)
                world.run(milliseconds = 60_000)
                accepted += world.accepted
                withoutStore += world.servedWithoutStore
                refused += world.refused
            }
        }
        expectThat(accepted).describedAs("acceptances").isGreaterThan(500)
        expectThat(withoutStore).describedAs("checks of an instance that served without the store").isGreaterThan(1_000)
        expectThat(refused).describedAs("checks of an instance that refused").isGreaterThan(1_000)
    }
}
