package org.mulberrypin.decisions.windows

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TeamCount
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class UsageWindowsTest {
    private val initial = UsageWindows(windowMilliseconds = 5_000, firstWindow = 100)

    @Test
    fun `writes the counts of a window once after each change`() {
        val counted =
            decide(decide(initial, UsageEvent.Counted("team", 500_100)).state, UsageEvent.Counted("team", 501_000))
        val written = decide(counted.state, UsageEvent.Ticked(501_500, holds = false))
        expectThat(written.effects).containsExactly(UsageEffect.WriteCounts(100, listOf(TeamCount("team", 2))))
        expectThat(decide(written.state, UsageEvent.Ticked(502_000, holds = false)).effects).isEmpty()
        val failed = decide(written.state, UsageEvent.WriteFailed(100))
        expectThat(decide(failed.state, UsageEvent.Ticked(502_500, holds = false)).effects).isEqualTo(written.effects)
    }

    @Test
    fun `freezes a window after the grace period for writes, and reports it only once it is frozen`() {
        expectThat(decide(initial, UsageEvent.Ticked(507_900, holds = true)).effects).isEmpty()
        val due = decide(initial, UsageEvent.Ticked(508_100, holds = true))
        expectThat(due.effects).containsExactly(UsageEffect.Freeze(100))
        val counts = listOf(TeamCount("team", 3))
        val frozen = decide(due.state, UsageEvent.Frozen(100, counts))
        val sent = decide(frozen.state, UsageEvent.Ticked(508_200, holds = true))
        expectThat(sent.effects).containsExactly(UsageEffect.Report(100, counts))
    }

    @Test
    fun `retries a failed report with the same counts and never reports an accepted window again`() {
        val counts = listOf(TeamCount("team", 3))
        val frozen = decide(initial, UsageEvent.Frozen(100, counts)).state
        val sent = decide(frozen, UsageEvent.Ticked(508_100, holds = true))
        val failed = decide(sent.state, UsageEvent.StepFailed(100)).state
        val again = decide(failed, UsageEvent.Ticked(508_300, holds = true))
        expectThat(again.effects).contains(UsageEffect.Report(100, counts))
        val reported = decide(again.state, UsageEvent.Reported(100)).state
        expectThat(decide(reported, UsageEvent.Ticked(509_000, holds = true)).effects).isEmpty()
    }

    @Test
    fun `does not freeze or report windows without the report lease`() {
        expectThat(decide(initial, UsageEvent.Ticked(530_000, holds = false)).effects).isEmpty()
    }

    @Test
    fun `sums the counts of all instances`() {
        val lines = listOf(TeamCount("b", 1), TeamCount("a", 2), TeamCount("b", 4))
        expectThat(sumCounts(lines)).containsExactly(TeamCount("a", 2), TeamCount("b", 5))
    }

    private fun decide(
        state: UsageWindows,
        event: UsageEvent,
    ) = decideUsage(state, event, 0)
}
