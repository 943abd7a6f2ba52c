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
        val written = decide(counted.state, UsageEvent.Tick(501_500, isLeaseHolder = false))
        expectThat(written.effects).containsExactly(UsageEffect.WriteCounts(100, listOf(TeamCount("team", 2))))
        expectThat(decide(written.state, UsageEvent.Tick(502_000, isLeaseHolder = false)).effects).isEmpty()
        val failed = decide(written.state, UsageEvent.WriteFailed(100))
        expectThat(
            decide(failed.state, UsageEvent.Tick(502_500, isLeaseHolder = false)).effects,
        ).isEqualTo(written.effects)
    }

    @Test
    fun `freezes a window after the grace period for writes, and reports it only once it is frozen`() {
        expectThat(decide(initial, UsageEvent.Tick(507_900, isLeaseHolder = true)).effects).isEmpty()
        val due = decide(initial, UsageEvent.Tick(508_100, isLeaseHolder = true))
        expectThat(due.effects).containsExactly(UsageEffect.FreezeWindow(100))
        val counts = listOf(TeamCount("team", 3))
        val frozen = decide(due.state, UsageEvent.Frozen(100, counts))
        val sent = decide(frozen.state, UsageEvent.Tick(508_200, isLeaseHolder = true))
        expectThat(sent.effects).containsExactly(UsageEffect.ReportWindow(100, counts))
    }

    @Test
    fun `retries a failed report with the same counts and never reports an accepted window again`() {
        val counts = listOf(TeamCount("team", 3))
        val frozen = decide(initial, UsageEvent.Frozen(100, counts)).state
        val sent = decide(frozen, UsageEvent.Tick(508_100, isLeaseHolder = true))
        val failed = decide(sent.state, UsageEvent.StepFailed(100)).state
        val again = decide(failed, UsageEvent.Tick(508_300, isLeaseHolder = true))
        expectThat(again.effects).contains(UsageEffect.ReportWindow(100, counts))
        val reported = decide(again.state, UsageEvent.Reported(100)).state
        expectThat(decide(reported, UsageEvent.Tick(509_000, isLeaseHolder = true)).effects).isEmpty()
    }

    @Test
    fun `does not freeze or report windows without the report lease`() {
        expectThat(decide(initial, UsageEvent.Tick(530_000, isLeaseHolder = false)).effects).isEmpty()
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
