package org.mulberrypin.decisions.windows

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TeamCount
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class UsageWindowsTest {
    private val first = UsageWindows(windowMilliseconds = 5_000, firstWindow = 100)

    @Test
    fun `writes the counts of a window once for each change`() {
        val counted = tell(tell(first, UsageEvent.Counted("team", 500_100)).state, UsageEvent.Counted("team", 501_000))
        val written = tell(counted.state, UsageEvent.Ticked(501_500, holds = false))
        expectThat(written.effects).containsExactly(UsageEffect.WriteCounts(100, listOf(TeamCount("team", 2))))
        expectThat(tell(written.state, UsageEvent.Ticked(502_000, holds = false)).effects).isEmpty()
        val failed = tell(written.state, UsageEvent.WriteFailed(100))
        expectThat(tell(failed.state, UsageEvent.Ticked(502_500, holds = false)).effects).isEqualTo(written.effects)
    }

    @Test
    fun `freezes a window only after all had time to write, and sends it only once it is frozen`() {
        expectThat(tell(first, UsageEvent.Ticked(507_900, holds = true)).effects).isEmpty()
        val due = tell(first, UsageEvent.Ticked(508_100, holds = true))
        expectThat(due.effects).containsExactly(UsageEffect.Freeze(100))
        val counts = listOf(TeamCount("team", 3))
        val frozen = tell(due.state, UsageEvent.Frozen(100, counts))
        val sent = tell(frozen.state, UsageEvent.Ticked(508_200, holds = true))
        expectThat(sent.effects).containsExactly(UsageEffect.Report(100, counts))
    }

    @Test
    fun `repeats a failed report with the same counts and never sends a window that was taken`() {
        val counts = listOf(TeamCount("team", 3))
        val frozen = tell(first, UsageEvent.Frozen(100, counts)).state
        val sent = tell(frozen, UsageEvent.Ticked(508_100, holds = true))
        val failed = tell(sent.state, UsageEvent.StepFailed(100)).state
        val again = tell(failed, UsageEvent.Ticked(508_300, holds = true))
        expectThat(again.effects).contains(UsageEffect.Report(100, counts))
        val taken = tell(again.state, UsageEvent.Reported(100)).state
        expectThat(tell(taken, UsageEvent.Ticked(509_000, holds = true)).effects).isEmpty()
    }

    @Test
    fun `does nothing for other instances without the duty`() {
        expectThat(tell(first, UsageEvent.Ticked(530_000, holds = false)).effects).isEmpty()
    }

    @Test
    fun `adds up the counts of all instances`() {
        val lines = listOf(TeamCount("b", 1), TeamCount("a", 2), TeamCount("b", 4))
        expectThat(sumCounts(lines)).containsExactly(TeamCount("a", 2), TeamCount("b", 5))
    }

    private fun tell(
        state: UsageWindows,
        event: UsageEvent,
    ) = decideUsage(state, event, 0)
}
