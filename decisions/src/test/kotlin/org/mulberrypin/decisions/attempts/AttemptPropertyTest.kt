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
@DisplayName("Requests under an idempotency key")
class AttemptPropertyTest {
    @Test
    fun `run at most once under crashes, lost answers and late commits`() {
        val kinds = HashMap<String?, Int>()
        runBlocking {
            checkAll(PropTestConfig(seed = 1205, iterations = 200), Arb.long()) { seed ->
                val world = AttemptWorld(seed)
                world.run(milliseconds = 40_000)
                expectThat(world.executions.values.toList()).all { hasSize(1) }
                world.outcomes.forEach { kinds.merge(it::class.simpleName, 1, Int::plus) }
            }
        }
        expectThat(kinds.keys).contains("MayRun", "AlreadyAnswered", "UnderWayOrUnknown", "DifferentContent")
        expectThat(kinds.getValue("RecordUnavailable")).isGreaterThan(100)
        expectThat(kinds.getValue("AlreadyAnswered")).isGreaterThan(1_000)
    }

    @Test
    fun `are honoured across the boundary of a period while clocks differ`() {
        val boundary = PERIOD_MILLISECONDS
        val behind = attemptKeys("name", boundary - 1)
        val ahead = attemptKeys("name", boundary)
        expectThat(behind).contains(ahead.first())
        expectThat(ahead).contains(behind.first())
        expectThat(attemptKeys("name", boundary + PERIOD_MILLISECONDS - 1)).contains(behind.first())
    }
}
